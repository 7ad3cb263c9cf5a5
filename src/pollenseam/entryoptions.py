"""The options of an entry VM, of all its parts."""

from pollenseam import hedging
from pollenseam import options

ALL: tuple[options.Option, ...] = (hedging.RATIO,)
