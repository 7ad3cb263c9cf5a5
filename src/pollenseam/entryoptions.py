"""The options of an entry VM, of all its parts."""

from pollenseam import options
from pollenseam import rankorder

ALL: tuple[options.Option, ...] = (rankorder.STRENGTH, rankorder.FLOOR)
