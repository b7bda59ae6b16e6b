"""Settings are read by type; an error names the section, the setting, its value and what was expected."""

import pytest

from lichenquay.admission.domain import (
    DeduplicationScope,
    Effect,
    LoadReportSource,
    MemoryShortageBehaviour,
)
from lichenquay.deployment_settings import DeploymentSettings
from lichenquay.settings_section import SettingsError, SettingsSection, flatten

GROUP = {
    "name": "stocktake",
    "effect": "keyed",
    "aim_us": 1_000_000,
    "deadline_us": 4_000_000,
    "group": "cell",
}


def settings(**changes):
    """Returns the settings of a deployment with one group, with the given changes."""
    return DeploymentSettings(SettingsSection.from_json({"classes": [GROUP], **changes}), 5)


def group_with(**changes):
    """Returns the settings' list of groups, with one changed group."""
    return [{name: value for name, value in {**GROUP, **changes}.items() if value is not None}]


def test_nested_settings_become_named_text_fields():
    """Lists of objects are numbered and counted, plain lists joined, null values omitted."""
    nested = {"a": {"b": True, "c": [1, 2.5, False]}, "d": [{"e": None, "f": "x"}], "g": None}
    assert flatten(nested) == {"a.b": "true", "a.c": "1,2.5,false", "d.count": "1", "d.0.f": "x"}


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"classes": group_with(aim_us=None)}, "class 'stocktake': 'aim_us' is missing"),
        ({"classes": group_with(name=None)}, "class 0: 'name' is missing"),
        (
            {"classes": group_with(effect="odd")},
            "class 'stocktake': 'effect' is 'odd', expected one of safe, keyed, unsafe",
        ),
        ({"classes": group_with(worth="inf")}, "class 'stocktake': 'worth' is 'inf', expected a number"),
        ({"tenants": [{"name": "t", "share": "much"}]}, "tenant 't': 'share' is 'much', expected a number"),
        ({"limits": {"cancel": "maybe"}}, "limits: 'cancel' is 'maybe', expected true or false"),
        ({"resolution_us": "soon"}, "'resolution_us' is 'soon', expected a whole number"),
        ({"family_info": {"size_cores": ["many"]}}, "family_info: 'size_cores' is 'many', expected numbers"),
    ],
)
def test_an_error_names_section_setting_value_and_expectation(changes, text):
    """An operator finds the setting by the message alone."""
    with pytest.raises(SettingsError) as raised:
        settings(**changes)
    assert str(raised.value) == text


class CountedFields(dict):
    """Fields that count how often all of them are iterated over."""

    passes = 0

    def items(self):
        """Counts the iteration."""
        self.passes += 1
        return super().items()


def passes_over_fields(section_count):
    """Returns how often reading `section_count` groups and as many tenants iterates over all fields."""
    sections = {
        "classes": [{**GROUP, "name": f"g{number}"} for number in range(section_count)],
        "tenants": [{"name": f"t{number}"} for number in range(section_count)],
    }
    fields = CountedFields(flatten(sections))
    read = DeploymentSettings(SettingsSection(fields), 5)
    assert list(read.groups) == [f"g{number}" for number in range(section_count)]
    assert list(read.tenants) == [f"t{number}" for number in range(section_count)]
    return fields.passes


def test_reading_settings_takes_time_linear_in_the_number_of_sections():
    """One pass over all fields per section would take seconds at a start with a thousand tenants."""
    assert passes_over_fields(2) == passes_over_fields(200)


def test_words_in_settings_become_enumeration_values():
    """Unknown words do not keep a gateway from starting."""
    known = settings(family_info={"out_of_memory": "swap"}, report={"how": "probe"})
    group = known.groups["stocktake"]
    assert (group.effect, group.deduplication_scope) == (Effect.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL)
    assert known.capabilities.memory_shortage == MemoryShortageBehaviour.SWAP
    assert known.capabilities.load_report_source == LoadReportSource.HEALTH_CHECKS
    unknown = settings(
        classes=group_with(group="room"), family_info={"out_of_memory": "odd"}, report={"how": "odd"}
    )
    assert unknown.groups["stocktake"].deduplication_scope == DeduplicationScope.UNKNOWN
    assert unknown.capabilities.memory_shortage == MemoryShortageBehaviour.QUEUE
    assert unknown.capabilities.load_report_source == LoadReportSource.NONE
