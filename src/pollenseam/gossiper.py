"""Gossip of membership records: each round exchanges them with few peers."""

import asyncio

from pollenseam import errors
from pollenseam import gossiprecords
from pollenseam import messages
from pollenseam import peers
from pollenseam import vm

ROUND_SECONDS = 1.0
# Shortest time between two rounds, used if an urgent update is pending.
MIN_ROUND_SECONDS = 0.1
# Number of rounds from one full exchange of records to the next.
FULL_EXCHANGE_ROUNDS = 15
CALL_TIMEOUT_SECONDS = 1.0


class Gossiper:
    """Runs the gossip exchanges of one VM.

    Attributes:
        vm: This VM.
    """

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
                is_full = self._round % FULL_EXCHANGE_ROUNDS == 0
                for address, name in self._targets():
                    if address not in self._in_flight:
                        group.create_task(self.exchange(address, name, is_full))
                await self._wait()

    async def _wait(self) -> None:
        """Waits for the next round; returns early for an urgent update."""
        next_round_at = self.vm.now() + ROUND_SECONDS
        await asyncio.sleep(MIN_ROUND_SECONDS)
        while self.vm.now() < next_round_at:
            self.update_reach()
            if self.vm.directory.is_urgent:
                return
            await asyncio.sleep(MIN_ROUND_SECONDS)

    def update_reach(self) -> None:
        """Updates the report of the services that only other VMs reach."""
        local_vm = self.vm
        services = local_vm.reach_watch.cut_off()
        local_vm.directory.update_reach(services, local_vm.now())

    def update_own_record(self) -> None:
        """Updates this VM's own record and removes expired records."""
        local_vm = self.vm
        directory = local_vm.directory
        age_ms = local_vm.settings_age_ms()
        directory.update_own(
            local_vm.lifecycle.state,
            age_ms,
            local_vm.tree.index,
            local_vm.load(),
        )
        directory.remove_expired(local_vm.now())
        self.update_reach()

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
        known_addresses = {
            v.record.peer_address for v in directory.vms.values()
        }
        # Seeds missing from the directory are contacted every round, so that
        # the two sides of a network partition find each other once it heals.
        missing = [(seed, "") for seed in seeds if seed not in known_addresses]
        return chosen + missing

    async def exchange(
        self, address: str, name: str, is_full: bool = False
    ) -> None:
        """Sends gossip to one peer and merges the peer's response.

        Merges nothing if the peer is unreachable.

        Args:
            address: Address of the peer.
            name: Name of the peer, or "" if it is not known yet.
            is_full: Whether to send all records instead of pending updates.
        """
        self._in_flight.add(address)
        directory = self.vm.directory
        request = directory.make_gossip(name, self.vm.now(), is_full)
        try:
            response: messages.Gossip = await self.vm.peers.call(
                address, peers.GOSSIP, request, CALL_TIMEOUT_SECONDS
            )
        except errors.UnreachableError:
            return
        finally:
            self._in_flight.discard(address)
        self._drop_unusable(response)
        directory.merge(response, self.vm.now())
        if not response.wants_all_records:
            directory.mark_synced(response.sender)

    def _drop_unusable(self, gossip: messages.Gossip) -> None:
        """Removes records that cannot be merged, and logs their names."""
        names = gossiprecords.drop_unusable(gossip)
        if names:
            self.vm.log.emit_often(
                "gossip-refused", sender=gossip.sender, names=",".join(names)
            )

    async def answer(self, request: messages.Gossip) -> messages.Gossip:
        """Merges a peer's gossip and returns the gossip for that peer."""
        directory = self.vm.directory
        now = self.vm.now()
        self._drop_unusable(request)
        directory.merge(request, now)
        if request.wants_all_records:
            directory.mark_synced(request.sender)
        return directory.make_gossip(
            request.sender, now, request.wants_all_records
        )

    async def broadcast_state(self) -> None:
        """Sends this VM's changed state to all other live VMs at once."""
        self.update_own_record()
        records = self.vm.directory.live(self.vm.now())[1:]
        async with asyncio.TaskGroup() as group:
            for record in records:
                group.create_task(
                    self.exchange(record.peer_address, record.name)
                )
