"""Elections of many control VMs in several regions, in virtual time."""

import asyncio

import pytest
import simulation

from pollenseam import buckets
from pollenseam import vm

DOMAINS = [f"d{n % 9}" for n in range(18)]
# One way, between regions.
DELAY_SECONDS = 0.035
# Replicas that have not talked before open a connection first.
CONNECT_SECONDS = 3 * 2 * DELAY_SECONDS
RECOVERY_SECONDS = 15.0
# Votes were split here, and it took longer than the bound.
SPLIT_VOTE_SEEDS = [23, 77]


async def freeze_leader(fleet):
    [leader] = fleet.leaders()
    fleet.network.silent.add(leader.address)
    return leader


async def kill_leader(fleet):
    [leader] = fleet.leaders()
    await leader.kill()
    return leader


@pytest.mark.parametrize("fault", [freeze_leader, kill_leader])
@pytest.mark.parametrize("seed", [*range(6), *SPLIT_VOTE_SEEDS])
def test_one_of_many_leads_soon_after_the_leader_is_lost(
    tmp_path, monkeypatch, seed, fault
):
    """Guards against elections that wait for connections between replicas.

    More and more of them stand meanwhile, and hold one another up.
    """
    monkeypatch.setattr(simulation, "MAX_DELAY_SECONDS", DELAY_SECONDS)
    fleet = simulation.Fleet(tmp_path, seed, DOMAINS)
    fleet.patch_modules(monkeypatch)

    async def main():
        fleet.start()
        await fleet.wait_until(fleet.is_whole, RECOVERY_SECONDS)
        fleet.network.connect_seconds = CONNECT_SECONDS
        await asyncio.sleep(3.0)
        lost = await fault(fleet)
        began_at = vm.boot_seconds()

        def has_another_leader():
            return any(m is not lost for m in fleet.leaders())

        await fleet.wait_until(has_another_leader, 2 * RECOVERY_SECONDS)
        seconds = vm.boot_seconds() - began_at
        fleet.network.silent.clear()
        await fleet.stop()
        return seconds

    assert simulation.run(main(), seed) <= buckets.TAKEOVER_SECONDS
