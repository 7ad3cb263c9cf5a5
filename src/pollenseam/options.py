"""Options of an entry VM: numbers that its operator may set.

Options are named values of the settings file. Environment variables give the
values of a process whose settings file has none. Every option has a default
and bounds; a value out of bounds is refused with its path and the bounds.
"""

import math
from collections.abc import Iterable
from collections.abc import Mapping

ENVIRONMENT_PREFIX = "POLLENSEAM_"


class InvalidOptionError(ValueError):
    """An option has a value that it must not have."""


class Option:
    """One option.

    Attributes:
        name: Name in the settings file.
        default: Value if it is not set.
        minimum: Smallest permitted value.
        maximum: Largest permitted value.
        unit: Unit of the value.
        meaning: What the value decides, as text for operators.
    """

    __slots__ = ("name", "default", "minimum", "maximum", "unit", "meaning")

    def __init__(
        self,
        name: str,
        default: float,
        minimum: float,
        maximum: float,
        unit: str,
        meaning: str,
    ) -> None:
        self.name = name
        self.default = default
        self.minimum = minimum
        self.maximum = maximum
        self.unit = unit
        self.meaning = meaning

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    def parse(self, path: str, text: str) -> float:
        """Returns the value that a text states.

        Args:
            path: Where the text stands, for the error.
            text: The value as text.

        Raises:
            InvalidOptionError: The text is no number within the bounds.
        """
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not self.minimum <= value <= self.maximum:
            raise InvalidOptionError(
                f"{path}: {text!r} is not a number from {self.minimum:g} to "
                f"{self.maximum:g} ({self.unit})"
            )
        return value


class Options:
    """The values of all options; shared by the parts of a VM.

    Attributes:
        values: Values by option name.
    """

    __slots__ = ("values",)

    def __init__(self, values: Mapping[str, float] | None = None) -> None:
        self.values = dict(values or {})

    def get(self, option: Option) -> float:
        """Returns the value in force of an option."""
        return self.values.get(option.name, option.default)

    def adopt(self, other: "Options") -> None:
        """Takes over the values of other options, for all that share these."""
        self.values = dict(other.values)


def parse(
    known: Iterable[Option],
    prefix: str,
    settings: Mapping[str, str],
    environment: Mapping[str, str],
) -> Options:
    """Returns the options that settings and environment state.

    Args:
        known: The options that exist.
        prefix: What precedes an option's name in the settings.
        settings: Values of the settings file, by dotted name.
        environment: Environment variables.

    Raises:
        InvalidOptionError: A value is out of bounds, or an option of the
            settings is not known.
    """
    values: dict[str, float] = {}
    by_name = {option.name: option for option in known}
    for option in by_name.values():
        if option.variable in environment:
            text = environment[option.variable]
            values[option.name] = option.parse(option.variable, text)
    for path, text in settings.items():
        if not path.startswith(prefix):
            continue
        name = path[len(prefix) :]
        if name not in by_name:
            raise InvalidOptionError(f"{path}: there is no such option")
        values[name] = by_name[name].parse(path, text)
    return Options(values)
