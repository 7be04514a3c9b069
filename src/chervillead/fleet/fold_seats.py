"""Rules of `seat` records."""

from returns import result

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import persistent_map

# Number of leader seats of a zone. A holder of one runs the zone's dispatcher
# and keeps its request claims; the seats above are standby seats.
LEADER_SEATS = 1

MAX_SEATS = 1000


def apply_seat(
    configuration: configuration_module.Configuration,
    subject: str,
    seat: configuration_module.Seat | None,
) -> result.Result[configuration_module.Configuration, str]:
    """Assigns a seat to a host, or releases it if `seat` is None."""
    seats = persistent_map.as_persistent(configuration.seats)
    if seat is None:
        return result.Success(
            configuration._replace(seats=seats.without(subject))
        )
    if not 0 <= seat.number < MAX_SEATS:
        return result.Failure(
            f"seat number {seat.number} is out of range, allowed are 0 to "
            f"{MAX_SEATS - 1}"
        )
    if not seat.zone or subject != f"{seat.zone}/{seat.number}":
        return result.Failure(
            f"seat {subject!r} doesn't match its zone and number, expected "
            f"'{seat.zone}/{seat.number}'"
        )
    for name, held in seats.items():
        if held.host != seat.host or name == subject:
            continue
        if held.zone != seat.zone:
            return result.Failure(
                f"host {seat.host!r} holds {name!r}; a host holds seats of "
                "one zone only"
            )
        if _is_leader_seat(held) == _is_leader_seat(seat):
            return result.Failure(
                f"host {seat.host!r} holds {name!r}; a host holds at most one "
                f"leader seat (below {LEADER_SEATS}) and one standby seat"
            )
    return result.Success(
        configuration._replace(seats=seats.with_entry(subject, seat))
    )


def _is_leader_seat(seat: configuration_module.Seat) -> bool:
    return seat.number < LEADER_SEATS
