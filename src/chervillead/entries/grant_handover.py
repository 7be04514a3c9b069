"""Active grants as a leaving dispatcher hands them over."""

from chervillead.entries import messages
from chervillead.upstreams import slots


def grants_by_entry_host(
    table: slots.SlotTable,
) -> dict[str, list[messages.HeldGrant]]:
    """Returns the active grants by entry host, for a handover message."""
    held: dict[str, list[messages.HeldGrant]] = {}
    for slot in table.held.values():
        held_grant = messages.HeldGrant(
            slot.grant_id,
            slot.request_id,
            slot.upstream,
            slot.queue,
            slot.team,
            slot.size,
        )
        held.setdefault(slot.entry_host, []).append(held_grant)
    return held
