"""Configuration files: reporting of all faults at once, and planned changes."""

from pathlib import Path

import msgspec
import pytest

from cassiaspread_core.base import FindingsError
from cassiaspread_core.policy import (
    EntryKey,
    EntryKind,
    PolicyState,
    build_record,
    plan_changes,
    read_policy_file,
)
from cassiaspread_core.policy_reference import render_reference

HASH = "a" * 64
VALID_FILE = f"""
[limits]
max_tokens = 100
[organisations.osorno]
token_sha256 = ["{HASH}"]
[models.draft]
n_layers = 8
[exceptions.rush]
reason = "export week"
author = "ana"
organisation = "osorno"
expires = 2027-01-31T18:00:00-03:00
limits = {{ max_tokens = 200 }}
"""
FAULTS = [
    ("[models.draft]\nn_layers = '8'", "models.draft.n_layers: Expected `int`"),
    ("[models.draft]", "models.draft.n_layers: is required"),
    ("[models.draft]\nn_layers=8\nn=1", "models.draft.n: unknown key; known are"),
    ("[limits]\nmax_tokens = 0", "limits.max_tokens: Expected `int` >= 1"),
    ("[limits]\nrequest_timeout_ms = 700000", "is more than max_request_timeout_ms"),
    ("[models]\ndraft = 8", "models.draft: expected a table"),
    ("models = 8", "models: expected a table of entries by name"),
    ("[models.'']\nn_layers=8", "expected a name of 1 to 128"),
    ("[fleet]", "fleet: unknown section"),
    ("[operators.ana]\ntoken_sha256 = 's'", "expected a list of token hashes"),
    ("[operators.ana]\ntoken_sha256 = ['s3cret']", "[0]: expected the token's SHA-256"),
    (
        f"[operators]\na.token_sha256=['{HASH}']\nb.token_sha256=['{HASH}']",
        "b.token_sha256[0]: the same token stands at operators.a.token_sha256[0]",
    ),
    ("[exceptions.a]\nreason=' '", "exceptions.a.reason: must not be empty"),
    ("[exceptions.a]", "exceptions.a.reason: is required"),
    ("[exceptions.a]", "exceptions.a: selects nothing"),
    ("[exceptions.a]\nmodel = 'x'", "exceptions.a.model: no model 'x' is known"),
    ("[exceptions.a]\nexpires = 2027-01-31", "expected a date and time with its"),
    ("[exceptions.a]\nexpires_s = 5", "expires_s: unknown key; use expires"),
    ("[exceptions.a.limits]\nmax = 1", "exceptions.a.limits.max: unknown key"),
    ("[limits", "at end of document"),
]


@pytest.mark.parametrize(("text", "message"), FAULTS)
def test_finding_names_fault_and_place(text, message):
    with pytest.raises(FindingsError) as raised:
        read_policy_file(text, "a.toml")
    assert message in str(raised.value)
    assert "s3cret" not in str(raised.value)
    assert all(finding.place.startswith("a.toml") for finding in raised.value.findings)


def test_all_faults_are_reported_together():
    tables = [text for text, _ in FAULTS if text.startswith("[exceptions.a]\n")]
    text = "\n".join(t.replace(".a]", f".a{i}]") for i, t in enumerate(tables))
    with pytest.raises(FindingsError) as raised:
        read_policy_file(text + "\n[fleet]\n[models.draft]", "a.toml")
    places = {f.place.split(": ")[1].split(".")[0] for f in raised.value.findings}
    assert places == {"exceptions", "fleet", "models"}


def test_exception_may_refer_to_entries_in_force():
    text = VALID_FILE.replace(f'[organisations.osorno]\ntoken_sha256 = ["{HASH}"]', "")
    key = EntryKey(EntryKind.ORGANISATION, "osorno")
    assert key not in read_policy_file(text, "a.toml", [key])


def apply(state, changes):
    for change in changes:
        record = build_record(change, "ana", lambda: "id")
        offset = state.next_offset
        state.fold(offset, [(offset, msgspec.json.encode(record))])
    return state


def test_only_differences_are_published():
    state = PolicyState()
    desired = read_policy_file(VALID_FILE, "a.toml")
    apply(state, plan_changes(state, desired))
    assert len(state.entries) == 4
    assert state.policy.exceptions["rush"].expires_s == 1801429200
    assert plan_changes(state, desired) == []
    changed = read_policy_file(VALID_FILE.replace("= 8", "= 9"), "a.toml")
    (change,) = plan_changes(state, changed)
    assert (change.fields, change.replaces) == (["n_layers"], 2)


def test_token_moves_from_a_pruned_entry_and_a_removed_entry_returns():
    state = PolicyState()
    first = read_policy_file(VALID_FILE, "a.toml")
    renamed = read_policy_file(VALID_FILE.replace("osorno", "celje"), "a.toml")
    apply(state, plan_changes(state, first))
    apply(state, plan_changes(state, renamed, prune=True))
    assert list(state.policy.organisations) == ["celje"]
    apply(state, plan_changes(state, first, prune=True))
    assert list(state.policy.organisations) == ["osorno"]


ROOT = Path(__file__).resolve().parents[3]


@pytest.mark.parametrize("path", sorted(ROOT.glob("examples/*.toml")), ids=str)
def test_examples_have_no_faults(path):
    text = path.read_text()
    entries = read_policy_file(text, path.name)
    assert {key.kind for key in entries} == set(EntryKind)
    assert text in (ROOT / "docs/operators/configuration.md").read_text()


def test_reference_is_current():
    page = (ROOT / "docs/operators/configuration-fields.md").read_text()
    assert page == render_reference(), "run `make docs`"
