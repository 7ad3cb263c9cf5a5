"""Servers that are cold when an evacuation ends get requests as if warm."""

import asyncio

import cases
import parties

FRONTS = 11
CORES = 3
PER_SECOND = 150.0
ZONE = "kk-a"
EVACUATED_SECONDS = 8.0
# A server that becomes cold says so with its next check-in.
COLD_BEFORE_END_SECONDS = 0.2
# cold_per_s x cold_overage + cold_slack.
BOUND = 2.9 * 1.5 + 5


async def add_servers(system, zone, count):
    """Starts servers in a zone."""
    servers = []
    for number in range(count):
        server = parties.Server(
            system,
            f"i-{zone}-{number}",
            "records",
            next(system.server_ips),
            zone=zone,
        )
        await server.start()
        servers.append(server)
    return servers


async def play(system):
    """Plays the case; returns what broke the rule, or ""."""
    await parties.give_order(
        system, "config.patch", body=parties.initial_state("records")
    )
    await add_servers(system, "kl-a", 1)
    evacuated = await add_servers(system, ZONE, 1)
    await parties.wait_until_ready(system)
    await asyncio.sleep(5.0)
    clients = parties.Clients(system, PER_SECOND)
    await asyncio.sleep(3.0)
    await parties.give_order(system, "evacuate.start", ZONE)
    await asyncio.sleep(EVACUATED_SECONDS)
    if cases.has_trouble():
        for server in evacuated:
            await server.become_cold()
    cold_from = system.now()
    await asyncio.sleep(COLD_BEFORE_END_SECONDS)
    await parties.give_order(system, "evacuate.end", ZONE)
    await asyncio.sleep(5.0)
    await clients.stop()
    broken = ""
    for server in evacuated:
        most = server.most_in_a_second(cold_from, server.cold_until)
        text = f"{server.id}: {most} requests in one second while cold"
        print(f"{text}; {BOUND:g} are allowed")
        system.record("count", text)
        if most > BOUND:
            broken = f"FAILBACK: {text}, above {BOUND:g}"
    print("answers:", clients.statuses)
    lost = sum(len(server.lost) for server in evacuated)
    print(f"requests lost with a server that crashed for it: {lost}")
    system.record("lost", str(lost))
    return broken


if __name__ == "__main__":
    cases.run(play, CORES, FRONTS)
