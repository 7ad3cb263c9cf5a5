"""The daemon `pollenseamd`, which runs one VM."""

import asyncio
import contextlib
import gc
import os
import signal
import sys
from collections.abc import Coroutine
from collections.abc import Sequence
from typing import Any

import defopt

from pollenseam import admission
from pollenseam import bootstrap
from pollenseam import datafolder
from pollenseam import diagnostics
from pollenseam import errors
from pollenseam import events
from pollenseam import flags
from pollenseam import follower
from pollenseam import forwarder
from pollenseam import frontend
from pollenseam import gossiper
from pollenseam import httpserver
from pollenseam import idempotency
from pollenseam import intake
from pollenseam import journal
from pollenseam import keys
from pollenseam import leases
from pollenseam import messages
from pollenseam import operators
from pollenseam import peers
from pollenseam import peerserver
from pollenseam import relayedexchanges
from pollenseam import relayhelper
from pollenseam import relaymessages
from pollenseam import renewer
from pollenseam import replicarunner
from pollenseam import submitter
from pollenseam import tls
from pollenseam import vm

# Time within which a stop lets requests in progress finish.
STOP_TIMEOUT_SECONDS = 60.0
# Time for connections to close, whatever is left of the stop.
CLOSE_GRACE_SECONDS = 0.5
KEEP_ALIVE_SECONDS = 75.0
# Time for the first renewals after the leases of an old leader have expired.
FIRST_LEASE_MARGIN_SECONDS = 1.0
# Net allocations that trigger a garbage collection of the youngest generation.
GC_THRESHOLD = 20_000
# Errors that `main` reports in one line.
EXPECTED_ERRORS = (errors.FlagError, errors.DamagedError, OSError)


class Daemon:
    """The parts of one daemon, and its start and stop.

    Attributes:
        flags: Validated flags of the daemon.
        log: Event log.
        tls: Certificate files, or None without TLS.
        peers: Client for calls to other VMs.
        vm: State of the VM, shared by all parts.
        submitter: Submits commands to the leader.
        gossiper: Exchanges records of VMs and upstreams with other VMs.
        follower: Keeps the settings current.
        renewer: Renews the leases of the VM.
        admission: Makes requests wait for tokens and upstream slots.
        forwarder: Forwards requests to upstreams.
        relay_helper: Sends requests of other VMs to upstreams.
        idempotency_handler: Runs requests that have an idempotency key.
        replica_changes: Handles additions and removals of replicas.
        frontend: Serves the caller address.
        server: Serves the peer address.
    """

    def __init__(self, daemon_flags: flags.Flags, log: events.EventLog) -> None:
        self.flags = daemon_flags
        self.log = log
        self.tls = tls.open_files(daemon_flags)
        credentials = self.tls.credentials() if self.tls else None
        self.peers = peers.Client(log.clock, credentials, log)
        self.vm = vm.create_vm(daemon_flags, log, self.peers)
        self.submitter = submitter.Submitter(self.vm)
        self.gossiper = gossiper.Gossiper(self.vm)
        self.follower = follower.Follower(self.vm)
        self.renewer = renewer.Renewer(self.vm, self.submitter)
        self.admission = admission.Admission(self.vm)
        self.forwarder = forwarder.Forwarder(self.vm, self.admission)
        self.idempotency_handler = idempotency.IdempotencyHandler(
            self.vm, self.forwarder, self.submitter
        )
        self.replica_changes = bootstrap.ReplicaChanges(self.vm)
        self.frontend = frontend.Frontend(
            self.vm,
            self.forwarder,
            self.idempotency_handler,
            operators.OperatorHandler(self.vm, self.submitter),
        )
        relayed = relayedexchanges.RelayedExchanges(self.vm, self.forwarder)
        read_credentials = self.tls.credentials if self.tls else None
        self.server = peerserver.Server(
            log.clock, self.peers.traffic, read_credentials, log
        )
        # Of the pools, only whether there are upstreams is used.
        pools: Any = self.vm.pools
        self.relay_helper = relayhelper.RelayHelper(
            relayed, pools, self.vm.now, relayed.lends_until, self.server, log
        )
        process_intake = intake.create(0.0, 0.0, log)
        self.forwarder.reply_buffers.share(process_intake)
        self._http_server = httpserver.HttpServer(
            self.frontend.handle,
            KEEP_ALIVE_SECONDS,
            frontend.MAX_HEAD_FIELD_BYTES,
            frontend.MAX_HEADERS,
            process_intake,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._root_digest = ""
        self._supervisor: datafolder.Supervisor | None = None

    # Start.

    async def start(self) -> None:
        """Starts all parts; returns once the VM serves requests.

        Raises:
            FlagError: An address cannot be bound.
            DamagedError: A file in the data folder is damaged.
            OSError: The data folder cannot be used.
        """
        root_token = flags.pop_secret("ROOT_TOKEN")
        if self.flags.data_folder is not None:
            self._open_replica(keys.digest(root_token) if root_token else "")
        self._register_handlers()
        await self.server.start(self.flags.peer_address)
        await self._listen()
        if self._supervisor is not None:
            self._spawn(self._supervisor.run(self._run_replica))
        self._spawn(self.gossiper.run())
        self._spawn(self.follower.run())
        self._spawn(self.renewer.run())
        self._spawn(self.admission.run())
        if self.tls is not None:
            relay_peers = self.forwarder.relay.relayer.peers
            self._spawn(self.tls.watch(self.peers, relay_peers))
        self._spawn(self.forwarder.relay.run())
        await self.vm.settings_fetched.wait()
        await self._wait_for_leases()
        # Most objects that exist now live until the process ends, so the
        # garbage collector need not examine them again.
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        self.vm.lifecycle.fire("serve")
        self.gossiper.update_own_record()
        self.log.emit(
            "ready",
            caller=self.flags.caller_address,
            peer=self.flags.peer_address,
            index=self.vm.tree.index,
        )

    async def _wait_for_leases(self) -> None:
        """Waits until the VM has fresh settings and a lease for each rate.

        A new leader grants shares only once the leases of its predecessor
        have expired, so the VM waits a little longer than a lease at most.
        After that it serves even if it has no leases, for example because
        there is no leader: routes whose access is "open" need neither.
        """
        local_vm = self.vm
        max_wait = (
            leases.LEASE_SECONDS
            + leases.DRIFT_SECONDS
            + FIRST_LEASE_MARGIN_SECONDS
        )
        deadline = local_vm.now() + max_wait
        while local_vm.now() < deadline and not (
            local_vm.is_fresh()
            and local_vm.lease_table.is_complete(local_vm.now())
        ):
            await asyncio.sleep(0.02)

    def _open_replica(self, root_digest: str) -> None:
        assert self.flags.data_folder is not None
        self._root_digest = root_digest
        self._supervisor = datafolder.Supervisor(
            self.flags.data_folder,
            self.flags.vm,
            self._create_runner,
            self.log,
        )

    def _create_runner(
        self, storage: journal.Journal, recovered: journal.Recovered
    ) -> replicarunner.ReplicaRunner:
        runner = replicarunner.open_runner(
            storage,
            recovered,
            self.peers,
            self.log,
            self.vm.now,
            self._root_digest,
            self.flags.peer_address,
            self.vm.incarnation,
        )
        runner.on_applied = self.vm.attach_replica_tree
        # The tree of a replica that failed is not updated any more.
        self.vm.detach_replica_tree()
        self.vm.replica_runner = runner
        self.vm.directory.own_record.replica_id = runner.replica.id
        self.vm.attach_replica_tree()
        return runner

    async def _run_replica(self, runner: replicarunner.ReplicaRunner) -> None:
        """Runs a replica until its disk fails, after the bootstrap.

        Raises:
            OSError: The initial configuration could not be stored.
        """
        founding = bootstrap.Bootstrap(
            self.flags.vm,
            runner.journal,
            self.flags.initial_replicas,
            self.peers,
            self.log,
        )
        if founding.is_pending:
            members = await founding.run()
            if members is not None:
                runner.replica.bootstrap(members)
        await runner.run()

    def _register_handlers(self) -> None:
        server = self.server
        server.handle(peers.GOSSIP, self.gossiper.answer)
        server.handle_in_parts(peers.FETCH, self.follower.answer_fetch)
        server.handle(peers.SUBMIT, self.submitter.answer_submit)
        server.handle(peers.READ, self.submitter.answer_read)
        server.handle(peers.LEND, self.renewer.answer)
        server.handle(relaymessages.RELAY, self.relay_helper.handle)
        server.handle(peers.PROBE, self.replica_changes.answer_probe)
        server.handle(peers.CHANGE_REPLICA, self.replica_changes.answer_change)
        server.handle_stream(peers.DELIVER, self._deliver)

    def _deliver(self, batch: messages.Batch) -> None:
        if self.vm.replica_runner is not None:
            self.vm.replica_runner.deliver(batch)

    async def _listen(self) -> None:
        host, port = flags.split_address(self.flags.caller_address)
        context = self.tls.server_context() if self.tls else None
        try:
            await self._http_server.listen(host, port, context)
        except OSError as error:
            raise errors.FlagError(
                f"--caller-address: cannot bind {self.flags.caller_address}: "
                f"{error.strerror}"
            ) from error

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._on_task_done)
        self._tasks.append(task)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        self.log.emit("task-failed", reason=repr(error))
        # A daemon without one of its parts would answer wrongly. The process
        # exits because only a restart leads to a state that is tested.
        self.log.close()
        os._exit(70)

    # Stop.

    async def stop(self) -> None:
        """Stops the daemon after the requests in progress have finished.

        Requests still in progress after STOP_TIMEOUT_SECONDS are aborted.
        """
        local_vm = self.vm
        local_vm.lifecycle.fire("leave")
        deadline = local_vm.now() + STOP_TIMEOUT_SECONDS
        local_vm.stop_deadline = deadline
        self._http_server.closes_connections = True
        self.log.emit("stopping", in_flight=local_vm.in_flight)
        await self.gossiper.broadcast_state()
        await self._wait_for_lookup_expiry(deadline)
        await self._close_connections(deadline)
        await self._wait_for_lent_calls(deadline)
        await self.idempotency_handler.drain(deadline)
        await self.renewer.release()
        if local_vm.replica_runner is not None:
            await local_vm.replica_runner.transfer_leadership()
        local_vm.lifecycle.fire("finish")
        await self.gossiper.broadcast_state()
        await self._close()
        self.log.emit("stopped")

    async def _wait_for_lookup_expiry(self, deadline: float) -> None:
        """Waits until no caller may use a look-up that names this VM.

        Callers keep the answer to a look-up for `lookup_max_age_ms`. Other
        VMs give this VM's address until they receive its new state by gossip
        and their cached look-ups expire. The wait ends at `deadline`, in
        seconds of the VM's time, at the latest.
        """
        max_age = self.vm.catalog.fleet.lookup_max_age_ms / 1000
        stale = frontend.LOOKUP_CACHE_SECONDS + gossiper.MIN_ROUND_SECONDS
        expire_at = min(deadline, self.vm.now() + max_age + stale)
        while self.vm.now() < expire_at:
            await asyncio.sleep(0.05)

    async def _wait_for_lent_calls(self, deadline: float) -> None:
        """Waits until the requests of other VMs that this one sends have ended.

        No further ones are taken since the VM is leaving.
        """
        while self.relay_helper.lent_calls and self.vm.now() < deadline:
            await asyncio.sleep(0.02)

    async def _close_connections(self, deadline: float) -> None:
        """Closes callers' connections once their requests are answered."""
        idle, busy = self._http_server.stop_accepting()
        self.log.emit("connections-closed", idle=idle, busy=busy)
        left_seconds = max(CLOSE_GRACE_SECONDS, deadline - self.vm.now())
        cut = await self._http_server.close(left_seconds)
        self.log.emit("callers-gone", cut=cut)

    async def _close(self) -> None:
        # Calls of other VMs in progress end before the replica that they need.
        await self.server.stop(CLOSE_GRACE_SECONDS)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.vm.trace.flush()
        self.vm.reach_watch.close()
        await self.forwarder.close()
        await self.peers.close()


def serve(
    *,
    vm: str,
    region: str,
    failure_domain: str,
    caller_address: str,
    peer_address: str,
    seeds: str = "",
    data_folder: str = "",
    initial_replicas: str = "",
    tls_certificate: str = "",
    tls_key: str = "",
    tls_authority: str = "",
    log_file: str = "",
    trace_file: str = "",
    insecure: bool = False,
) -> None:
    """Runs one VM of pollenseam.

    Each flag can also be set by an environment variable, for example
    POLLENSEAM_PEER_ADDRESS for --peer-address; a flag on the command line
    takes precedence. When a new fleet starts for the first time, the token of
    its first operator is read from POLLENSEAM_ROOT_TOKEN.

    Args:
        vm: Name of this VM, unique in the fleet.
        region: Region of this VM.
        failure_domain: Failure domain of this VM.
        caller_address: IP:PORT to serve callers, upstreams and operators on.
        peer_address: IP:PORT to serve other VMs on.
        seeds: Peer addresses of VMs to join the fleet by, as
            IP:PORT,IP:PORT,...
        data_folder: Folder for durable state; only a VM that has one can be a
            replica.
        initial_replicas: Replicas of a new fleet, as NAME=IP:PORT,...
        tls_certificate: PEM file with the certificate chain of this VM.
        tls_key: PEM file with the private key of this VM.
        tls_authority: PEM file with the CA certificates that VMs trust.
        log_file: File to append log events to, instead of writing them to
            stderr.
        trace_file: File to record the inputs of decisions in.
        insecure: Serve without TLS on addresses other than loopback.
    """
    daemon_flags = flags.Flags(
        vm,
        region,
        failure_domain,
        caller_address,
        peer_address,
        seeds,
        data_folder,
        initial_replicas,
        tls_certificate,
        tls_key,
        tls_authority,
        log_file,
        trace_file,
        insecure,
    )
    log = diagnostics.open_log(daemon_flags.vm, daemon_flags.log_file)
    diagnostics.run(_run(daemon_flags, log), log, EXPECTED_ERRORS)


async def _run(daemon_flags: flags.Flags, log: events.EventLog) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    daemon = Daemon(daemon_flags, log)
    starting = asyncio.create_task(daemon.start())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait(
        {starting, stopping}, return_when=asyncio.FIRST_COMPLETED
    )
    if starting.done():
        starting.result()
        await stopping
    starting.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await starting
    await daemon.stop()


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs the daemon.

    Exits with code 2 and one line on stderr if a flag is invalid, and with
    code 1 if the data folder is damaged or cannot be used.

    Args:
        arguments: Command-line arguments; those of the process by default.
    """
    given = list(sys.argv[1:] if arguments is None else arguments)
    names = [name.replace("_", "-") for name in flags.Flags.__slots__]
    from_environment = flags.environment_arguments(names, os.environ)
    try:
        defopt.run(
            serve,
            argv=from_environment + given,
            short={},
            no_negated_flags=True,
            argparse_kwargs={"prog": "pollenseamd"},
        )
    except errors.FlagError as error:
        print(f"pollenseamd: {error}", file=sys.stderr)
        sys.exit(2)
    except (errors.DamagedError, OSError) as error:
        print(f"pollenseamd: data folder: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
