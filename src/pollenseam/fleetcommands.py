"""Commands of `pollenseam` about the fleet: its status and its replicas."""

import asyncio
from typing import Any

from pollenseam import commandline
from pollenseam import operators


def status() -> None:
    """Shows VMs, replicas, upstreams, shares and counts of refusals."""
    answer = asyncio.run(commandline.create_client().get("status"))
    commandline.print_result(answer, _status_text(answer))


def _status_text(answer: dict[str, Any]) -> str:
    fresh = "fresh" if answer["fresh"] else "NOT FRESH"
    lines = [
        f"{answer['vm']}: {answer['state']}, settings {fresh}, "
        f"index {answer['settings_index']}, "
        f"age {answer['settings_age_ms']} ms",
        f"leader: {answer['leader'] or 'not known here'}"
        + (f", term {answer['term']}" if answer["term"] else ""),
        "",
        f"{'VM':14}{'STATE':10}{'REGION':14}{'DOMAIN':12}{'ADDRESS':22}"
        f"{'INDEX':>7}{'AGE MS':>8}{'LOAD':>7}",
    ]
    for vm in answer["vms"]:
        state = "suspect" if vm["suspect"] else vm["state"]
        lines.append(
            f"{vm['name']:14}{state:10}{vm['region']:14}"
            f"{vm['failure_domain']:12}{vm['address']:22}"
            f"{vm['index']:7}{vm['age_ms']:8}{vm['load']:7.2f}"
        )
    lines.append("")
    for replica in answer["replicas"]:
        lines.append(
            f"replica {replica['id']:24}{replica['role']:9}"
            f"{replica['address']}"
        )
    for service, states in sorted(answer["upstreams"].items()):
        counts = ", ".join(f"{n} {s}" for s, n in sorted(states.items()))
        lines.append(f"upstreams of {service}: {counts}")
    for path, state in sorted(answer["shifts"].items()):
        lines.append(f"shift {path}: {state}")
    for resource, rate in sorted(answer["shares"].items()):
        lines.append(f"share of {resource}: {rate:.1f}/s")
    for kind, count in sorted(answer["refused"].items()):
        lines.append(f"refused {kind}: {count}")
    if answer["worst_workspace"]:
        lines.append(f"most refused workspace: {answer['worst_workspace']}")
    return "\n".join(lines)


def replica_list() -> None:
    """Lists the control replicas that the leader has on record."""
    answer = asyncio.run(commandline.create_client().get("replicas"))
    lines = [f"{r['id']} {r['role']} {r['address']}" for r in answer]
    commandline.print_result(answer, "\n".join(lines))


def replica_add(name: str, address: str) -> None:
    """Adds a VM with a data folder as a control replica.

    The replica starts as a learner: it receives the log and becomes a voter
    once it has caught up.

    Args:
        name: Name of the VM.
        address: Peer address of the VM, IP:PORT.
    """
    request = operators.ReplicaRequest(name, address)
    answer = asyncio.run(commandline.create_client().post("replicas", request))
    commandline.print_result(
        answer, f"{name} added as a learner; it votes once caught up"
    )


def replica_remove(name: str) -> None:
    """Removes a control replica.

    Args:
        name: Name of the VM, or the replica id if the VM has two replicas.
    """
    request = operators.ReplicaRequest(name)
    answer = asyncio.run(commandline.create_client().post("replicas", request))
    commandline.print_result(answer, f"{name} removed")
