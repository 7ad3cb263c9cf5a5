"""While a restarted core knows no front machine, each takes the whole rate."""

import asyncio

import cases
import parties

FRONTS = 11
CORES = 3
PER_SECOND = 150.0
BACK_AFTER_SECONDS = 0.7
# Kills of the core at the most; the case ends with the first that shows it.
ROUNDS = 9
SETTLE_SECONDS = 4.5
NEW_SERVER_DELAY_SECONDS = 0.4
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
    broken = ""
    while len(added) < ROUNDS and not broken:
        if cases.has_trouble():
            await kill_core(system)
        else:
            await asyncio.sleep(BACK_AFTER_SECONDS)
        # The operator adds a server, as the one there has no room for all.
        await asyncio.sleep(NEW_SERVER_DELAY_SECONDS)
        server = parties.Server(
            system, f"i-new-{len(added)}", "records", next(system.server_ips)
        )
        added.append(server)
        await server.start()
        await asyncio.sleep(SETTLE_SECONDS)
        most = server.most_in_a_second(0.0, server.cold_until)
        text = f"{server.id}: {most} requests in one second while cold"
        print(f"{text}; {BOUND:g} are allowed")
        system.record("count", text)
        if most > BOUND:
            broken = f"FAILBACK: {text}, above {BOUND:g}"
        await server.leave()
    await clients.stop()
    print("answers:", clients.statuses)
    lost = sum(len(server.lost) for server in added)
    print(f"requests lost with a server that crashed for it: {lost}")
    system.record("lost", str(lost))
    return broken


if __name__ == "__main__":
    cases.run(play, CORES, FRONTS)
