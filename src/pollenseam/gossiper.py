"""Spreads membership records: one exchange per round with few peers."""

import asyncio

from pollenseam import errors
from pollenseam import messages
from pollenseam import peers
from pollenseam import vm

ROUND_SECONDS = 1.0
MIN_ROUND_SECONDS = 0.1
FULL_EXCHANGE_ROUNDS = 15
CALL_TIMEOUT_SECONDS = 1.0


class Gossiper:
    """Runs the exchanges of one VM."""

    def __init__(self, local_vm: vm.Vm) -> None:
        self.vm = local_vm
        self._in_flight: set[str] = set()
        self._round = 0

    async def run(self) -> None:
        """Exchanges records until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self.update_own_record()
                self._round += 1
                self.vm.directory.is_urgent = False
                whole = self._round % FULL_EXCHANGE_ROUNDS == 0
                for address, name in self._targets():
                    if address not in self._in_flight:
                        group.create_task(self.exchange(address, name, whole))
                await self._wait()

    async def _wait(self) -> None:
        """Waits for the next round, or less when there is urgent news."""
        until = self.vm.now() + ROUND_SECONDS
        await asyncio.sleep(MIN_ROUND_SECONDS)
        while self.vm.now() < until and not self.vm.directory.is_urgent:
            await asyncio.sleep(MIN_ROUND_SECONDS)

    def update_own_record(self) -> None:
        """Renews the own record and drops what is long dead."""
        own = self.vm
        directory = own.directory
        age_ms = own.settings_age_ms()
        directory.update_own(own.life.state, age_ms, own.tree.index, own.load())
        directory.remove_expired(own.now())

    def _targets(self) -> list[tuple[str, str]]:
        directory = self.vm.directory
        chosen = [
            (record.peer_address, record.name)
            for record in directory.choose_peers(self.vm.now())
        ]
        seeds = [
            seed
            for seed in self.vm.flags.seeds
            if seed != self.vm.flags.peer_address
        ]
        known = {v.record.peer_address for v in directory.vms.values()}
        # Seeds that are not known are asked every round, so that two halves
        # of a healed partition find each other again.
        missing = [(seed, "") for seed in seeds if seed not in known]
        return chosen + missing

    async def exchange(
        self, address: str, name: str, is_full: bool = False
    ) -> None:
        """Pushes news to one peer and takes its news in."""
        self._in_flight.add(address)
        directory = self.vm.directory
        request = directory.make_gossip(name, self.vm.now(), is_full)
        try:
            answer: messages.Gossip = await self.vm.peers.call(
                address, peers.GOSSIP, request, CALL_TIMEOUT_SECONDS
            )
        except errors.UnreachableError:
            return
        finally:
            self._in_flight.discard(address)
        directory.merge(answer, self.vm.now())
        if not answer.wants_all_records:
            directory.mark_synced(answer.sender)

    async def answer(self, request: messages.Gossip) -> messages.Gossip:
        """Answers a peer's exchange."""
        directory = self.vm.directory
        now = self.vm.now()
        directory.merge(request, now)
        if request.wants_all_records:
            directory.mark_synced(request.sender)
        return directory.make_gossip(
            request.sender, now, request.wants_all_records
        )

    async def broadcast_state(self) -> None:
        """Tells all VMs of a changed state at once."""
        self.update_own_record()
        records = self.vm.directory.live(self.vm.now())[1:]
        async with asyncio.TaskGroup() as group:
            for record in records:
                group.create_task(
                    self.exchange(record.peer_address, record.name)
                )
