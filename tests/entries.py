"""Start-up settings of entry VMs that run in the test's event loop."""

from pollenseam import entryvm
from pollenseam import leases

TOLERANCE = leases.Tolerance(5.0, 0.1, 20.0)


def entry_settings(seed, max_settings_age_seconds=4.3, retry_slack=10.0):
    """Returns settings of the only entry VM of a failure domain.

    Args:
        seed: Peer address of a control VM.
        max_settings_age_seconds: Age of the settings above which no key is
            accepted.
        retry_slack: Retries per window of 10 s.
    """
    return entryvm.Settings(
        "e1",
        "r1",
        "d1",
        "127.0.0.1:1",
        {"d1": "r1"},
        [seed],
        max_settings_age_seconds,
        0.0,
        retry_slack,
        10.0,
        TOLERANCE,
    )
