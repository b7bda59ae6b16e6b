"""States of a member, and which of two claims about a member is the newer one."""

from enum import StrEnum
from typing import NamedTuple

LAST_LIVE_NUMBER = 1
FIRST_FINAL_NUMBER = 3


class MemberState(StrEnum):
    """A member's state; the value is what logs show, `number` what messages hold (members.proto)."""

    number: int
    is_live: bool  # Alive or suspect.
    is_final: bool  # Left or removed: only another incarnation of the name comes after it.

    def __new__(cls, label: str, number: int) -> "MemberState":
        """Make a member of the enumeration with its number in messages."""
        state = str.__new__(cls, label)
        state._value_ = label
        state.number = number
        state.is_live = number <= LAST_LIVE_NUMBER
        state.is_final = number >= FIRST_FINAL_NUMBER
        return state

    ALIVE = "alive", 0
    SUSPECT = "suspect", 1
    FAULTY = "faulty", 2
    LEFT = "left", 3
    REMOVED = "removed", 4


STATE_BY_NUMBER = tuple(MemberState)
MAX_STATE_NUMBER = len(STATE_BY_NUMBER) - 1


class Precedence(NamedTuple):
    """Total order of claims about one member: the larger one wins."""

    incarnation: int
    is_final: bool
    refutation: int
    state_number: int


def precedence(incarnation: int, refutation: int, state_number: int) -> Precedence:
    """Return the precedence of a claim, by the number of its state.

    Left and removed are final for their incarnation whatever the refutation counter; removed wins over left.
    """
    if state_number >= FIRST_FINAL_NUMBER:
        return Precedence(incarnation, True, 0, state_number)
    return Precedence(incarnation, False, refutation, state_number)


class MemberRecord(NamedTuple):
    """What is claimed of a member.

    The refutation counter rises each time that the member refutes a suspicion.
    """

    name: str
    incarnation: int
    refutation: int
    state: MemberState

    @property
    def precedence(self) -> Precedence:
        """The place of this claim in the order of claims about the name."""
        return precedence(self.incarnation, self.refutation, self.state.number)


class MemberSummary(NamedTuple):
    """A member as others see it."""

    name: str
    incarnation: int
    state: MemberState


class StateChange(NamedTuple):
    """One step of the view; `old_state` is None for an incarnation that was not known before."""

    name: str
    incarnation: int
    old_state: MemberState | None
    new_state: MemberState
    view_number: int


class View(NamedTuple):
    """Identifies a member's view of the group.

    `number` rises with every change in this process. `digest` is equal wherever the same members have the
    same states; suspect counts as alive there, as a suspicion is temporary and not agreed upon.
    """

    number: int
    digest: int
