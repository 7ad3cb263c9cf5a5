"""While a restarted core knows no front machine, each takes the whole rate."""

import asyncio

import cases
import parties

FRONTS = 11
CORES = 3
PER_SECOND = 150.0
BACK_AFTER_SECONDS = 0.7
ROUNDS = 7
SETTLE_SECONDS = 5.5
NEW_SERVERS = 1
NEW_SERVER_GAP_SECONDS = 0.4
# cold_per_s x cold_overage + cold_slack.
BOUND = 2.9 * 1.5 + 5


async def kill_core(system):
    """Kills all processes of the core, which are back within a second."""
    await asyncio.gather(*(m.kill() for m in system.cores))
    await asyncio.sleep(BACK_AFTER_SECONDS)
    for machine in system.cores:
        await machine.start()


async def play(system):
    """Plays the case; returns what broke the rule, or ""."""
    await parties.give_order(
        system, "config.patch", body=parties.initial_state("records")
    )
    first = parties.Server(
        system, "i-first", "records", next(system.server_ips)
    )
    await first.start()
    await parties.wait_until_ready(system)
    await asyncio.sleep(5.0)
    clients = parties.Clients(system, PER_SECOND)
    await asyncio.sleep(5.0)
    added = []
    for _ in range(ROUNDS):
        if cases.has_trouble():
            await kill_core(system)
        else:
            await asyncio.sleep(BACK_AFTER_SECONDS)
        # The operator adds servers, as those there have no room for all.
        for _ in range(NEW_SERVERS):
            await asyncio.sleep(NEW_SERVER_GAP_SECONDS)
            server = parties.Server(
                system,
                f"i-new-{len(added)}",
                "records",
                next(system.server_ips),
            )
            added.append(server)
            await server.start()
        await asyncio.sleep(SETTLE_SECONDS)
        await asyncio.gather(*(s.leave() for s in added[-NEW_SERVERS:]))
    await clients.stop()
    broken = ""
    for server in added:
        most = server.most_in_a_second(0.0, server.cold_until)
        text = f"{server.id}: {most} requests in one second while cold"
        print(f"{text}; {BOUND:g} are allowed")
        system.record("count", text)
        if most > BOUND:
            broken = f"FAILBACK: {text}, above {BOUND:g}"
    print("answers:", clients.statuses)
    lost = sum(len(server.lost) for server in added)
    print(f"requests lost with a server that crashed for it: {lost}")
    system.record("lost", str(lost))
    return broken


if __name__ == "__main__":
    cases.run(play, CORES, FRONTS)
