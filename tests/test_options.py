"""Options: defaults, bounds, and where a value may stand."""

import pytest

from pollenseam import options

RATIO = options.Option("some_ratio", 0.0, 0.0, 0.5, "part", "a part")
KNOWN = (RATIO,)
PREFIX = "options."


def parse(settings=None, environment=None):
    return options.parse(KNOWN, PREFIX, settings or {}, environment or {})


def test_an_option_that_is_not_set_has_its_default():
    assert parse().get(RATIO) == RATIO.default


def test_the_settings_file_goes_before_the_environment():
    environment = {"POLLENSEAM_SOME_RATIO": "0.1"}
    assert parse({}, environment).get(RATIO) == 0.1
    settings = {"options.some_ratio": "0.2", "other": "x"}
    assert parse(settings, environment).get(RATIO) == 0.2


@pytest.mark.parametrize("text", ["", "x", "nan", "-0.1", "0.51", "inf"])
def test_a_value_out_of_bounds_is_refused_with_path_and_bounds(text):
    for settings, environment, path in (
        ({"options.some_ratio": text}, {}, "options.some_ratio"),
        ({}, {"POLLENSEAM_SOME_RATIO": text}, "POLLENSEAM_SOME_RATIO"),
    ):
        with pytest.raises(options.InvalidOptionError) as error:
            parse(settings, environment)
        assert str(error.value).startswith(path)
        assert "from 0 to 0.5 (part)" in str(error.value)


def test_an_option_that_does_not_exist_is_refused():
    with pytest.raises(options.InvalidOptionError, match="options.other"):
        parse({"options.other": "1"})


def test_parts_that_share_the_options_see_a_change():
    shared = parse()
    shared.adopt(parse({"options.some_ratio": "0.3"}))
    assert shared.get(RATIO) == 0.3
