"""States of a member, and the precedence of claims about a member."""

from enum import StrEnum
from typing import NamedTuple

LAST_LIVE_NUMBER = 1
FIRST_FINAL_NUMBER = 3


class MemberState(StrEnum):
    """A member's state; the value appears in logs, `number` in messages (members.proto)."""

    number: int
    is_live: bool  # Alive or suspect.
    is_final: bool  # Left or removed: only a higher incarnation of the name can follow.

    def __new__(cls, label: str, number: int) -> "MemberState":
        """Creates a state with its label and its number in messages."""
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
    """Total order of claims about one member: the greater one takes precedence."""

    incarnation: int
    is_final: bool
    refutation: int
    state_number: int


def precedence(incarnation: int, refutation: int, state_number: int) -> Precedence:
    """Returns the precedence of a claim, given the number of its state.

    Left and removed are final for their incarnation, regardless of the refutation counter; removed takes
    precedence over left.
    """
    if state_number >= FIRST_FINAL_NUMBER:
        return Precedence(incarnation, True, 0, state_number)
    return Precedence(incarnation, False, refutation, state_number)


class MemberRecord(NamedTuple):
    """A claim about a member.

    The refutation counter increases each time that the member refutes a suspicion.
    """

    name: str
    incarnation: int
    refutation: int
    state: MemberState

    @property
    def precedence(self) -> Precedence:
        """The precedence of this claim among all claims about the name."""
        return precedence(self.incarnation, self.refutation, self.state.number)


class MemberSummary(NamedTuple):
    """The name, incarnation and state of a known member."""

    name: str
    incarnation: int
    state: MemberState


class StateChange(NamedTuple):
    """One change of the view; `old_state` is None for an incarnation that was not known before."""

    name: str
    incarnation: int
    old_state: MemberState | None
    new_state: MemberState
    view_number: int


class View(NamedTuple):
    """Identifies a member's view of the group.

    `number` increases with every change in this process. `digest` is equal in all processes that hold the
    same members in the same states; suspect counts as alive in it, because a suspicion is temporary and not
    agreed upon.
    """

    number: int
    digest: int
