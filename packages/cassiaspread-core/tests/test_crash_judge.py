import itertools
import random

import pytest

from cassiaspread_core.quarantine import (
    MAX_LOSSES,
    CrashJudge,
    Loss,
    RequestTraits,
    SuspectKind,
    SuspectRecord,
    find_crashing,
    merge_records,
)

numbers = itertools.count()


def make_traits(*parts, organisation="osorno", fingerprint=None):
    """Return a request that is like no other, unless its fingerprint is given."""
    return RequestTraits(
        fingerprint or f"r{next(numbers)}", organisation, "draft", parts
    )


def lose(judge, traits, now_s, target=None, has_gone_on=False):
    """Let a target end under a request."""
    run = judge.begin_run(traits)
    target = target or f"e{next(numbers)}"
    judge.record_loss(traits, target, "i", run, now_s, has_gone_on=has_gone_on)


def is_refused(judge, *parts, organisation="osorno"):
    return (
        judge.find_refusal(make_traits(*parts, organisation=organisation)) is not None
    )


def test_part_of_three_interrupted_requests_is_refused():
    judge = CrashJudge()
    for n in range(3):
        assert not is_refused(judge, "bad")
        lose(judge, make_traits("bad", f"s{n}"), n + 1.0)
    assert is_refused(judge, "bad")
    assert is_refused(judge, "bad", "new")
    for n in range(3):
        assert not is_refused(judge, f"s{n}")


def test_answer_that_goes_on_clears_all_parts():
    judge = CrashJudge()
    for n in range(3):
        lose(judge, make_traits("bad", "sound"), n + 1.0)
        judge.record_progress(make_traits("sound", "other"), n + 1.5)
    assert is_refused(judge, "bad")
    assert not is_refused(judge, "sound")
    assert not is_refused(judge, "other")


def test_answer_that_had_gone_on_puts_no_part_under_suspicion():
    judge = CrashJudge()
    for n in range(6):
        lose(judge, make_traits("sound"), n + 1.0, has_gone_on=True)
    assert not is_refused(judge, "sound")
    assert judge.table.find("sound") is None


def test_answer_before_the_loss_clears_nothing():
    # A part may begin to crash engines at any time.
    judge = CrashJudge()
    judge.record_progress(make_traits("bad"), 0.5)
    for n in range(4):
        lose(judge, make_traits("bad"), n + 1.0)
    assert is_refused(judge, "bad")


def test_parts_that_were_always_together_are_refused_together():
    judge = CrashJudge()
    for n in range(3):
        lose(judge, make_traits("first", "bad"), n + 1.0)
    assert is_refused(judge, "first", "bad")
    assert not is_refused(judge, "first")
    assert not is_refused(judge, "bad")
    # The next loss shows which one it is.
    lose(judge, make_traits("bad"), 5.0)
    assert is_refused(judge, "bad")
    assert not is_refused(judge, "first")


def test_companion_that_is_cleared_does_not_protect_the_other():
    judge = CrashJudge()
    for n in range(3):
        lose(judge, make_traits("first", "bad"), n + 1.0)
    judge.record_progress(make_traits("first"), 4.0)
    assert is_refused(judge, "bad")
    assert not is_refused(judge, "first")


def test_proven_part_is_not_taken_for_the_one_beside_it():
    # Each of the two was in a request that lost every target.
    judge = CrashJudge()
    judge.record_progress(make_traits("popular"), 0.5)
    for n in range(3):
        requests = [make_traits(part, f"{part}-{n}") for part in ("popular", "bad")]
        runs = [judge.begin_run(traits) for traits in requests]
        for traits, run in zip(requests, runs, strict=True):
            judge.record_loss(traits, f"t{n}", "i", run, n + 1.0)
    assert is_refused(judge, "bad")
    assert not is_refused(judge, "popular")


def test_request_sent_again_is_refused_rather_than_its_parts():
    judge = CrashJudge()
    for n in range(3):
        lose(judge, make_traits("part", fingerprint="same"), n + 1.0)
    assert judge.find_refusal(make_traits("part", fingerprint="same")) is not None
    assert not is_refused(judge, "part")
    # Another request with the part shows that it was not the request.
    lose(judge, make_traits("part"), 5.0)
    assert is_refused(judge, "part")


def test_repeats_of_crashing_requests_do_not_hide_their_part():
    judge = CrashJudge()
    n_losses = 0
    for n in range(4):
        traits = make_traits("bad", f"s{n}")
        for k in range(3):
            if judge.find_refusal(traits) is None:
                n_losses += 1
                lose(judge, traits, 10.0 * n + k + 1.0)
    assert n_losses == 4
    assert is_refused(judge, "bad")


def test_targets_that_end_at_once_count_once():
    judge = CrashJudge()
    for round_ in range(2):
        requests = [make_traits("popular") for _ in range(6)]
        runs = [judge.begin_run(traits) for traits in requests]
        for n, (traits, run) in enumerate(zip(requests, runs, strict=True)):
            judge.record_loss(traits, f"t{round_}-{n}", "i", run, round_ + 1.0)
    assert judge.table.find("popular").n_rounds == 2
    assert not is_refused(judge, "popular")


def test_part_is_refused_to_others_once_two_organisations_lost_targets():
    judge = CrashJudge()
    for n in range(5):
        lose(judge, make_traits("part", organisation="osorno"), n + 1.0)
    assert is_refused(judge, "part", organisation="osorno")
    assert not is_refused(judge, "part", organisation="cautin")
    lose(judge, make_traits("part", organisation="cautin"), 7.0)
    for organisation in ("osorno", "cautin", "llanquihue"):
        assert is_refused(judge, "part", organisation=organisation)


def test_refused_part_is_tried_again_ever_more_rarely():
    judge, now_s, waits_s = CrashJudge(), 3.0, []
    for n in range(3):
        lose(judge, make_traits("bad"), n + 1.0)
    for _ in range(4):
        record = judge.find_refusal(make_traits("bad"))
        due_s = judge.next_trial_s(record)
        waits_s.append(due_s - now_s)
        assert not judge.may_try(record, "a", due_s - 0.1)
        assert judge.may_try(record, "a", due_s)
        # One at a time.
        assert not judge.may_try(record, "b", due_s + 1.0)
        assert judge.may_try(record, "a", due_s + 1.0)
        now_s = due_s + 2.0
        lose(judge, make_traits("bad"), now_s)
    assert waits_s[0] == 30.0
    assert all(
        wait_s > 1.5 * before_s for before_s, wait_s in itertools.pairwise(waits_s)
    )


def test_sound_part_is_served_again_after_its_trial():
    judge = CrashJudge()
    for n in range(4):
        lose(judge, make_traits("part"), n + 1.0)
    record = judge.find_refusal(make_traits("part"))
    assert judge.may_try(record, "a", 100.0)
    judge.record_progress(make_traits("part"), 101.0)
    assert not is_refused(judge, "part")


def test_trial_that_does_not_end_holds_up_no_other():
    judge = CrashJudge()
    for n in range(3):
        lose(judge, make_traits("part"), n + 1.0)
    record = judge.find_refusal(make_traits("part"))
    assert judge.may_try(record, "a", 100.0)
    assert not judge.may_try(record, "b", 110.0)
    assert judge.may_try(record, "b", 131.0)


def test_losses_of_an_engine_restarted_unseen_are_told_apart():
    # The list shows one incarnation; the number is the same for all requests.
    judge = CrashJudge()
    for n in range(3):
        beside, crashing = make_traits("sound"), make_traits("bad")
        runs = [judge.begin_run(traits) for traits in (beside, crashing)]
        for traits, run in zip((beside, crashing), runs, strict=True):
            judge.record_loss(traits, "e", "i", run, n + 1.0)
        judge.record_progress(make_traits("sound"), n + 1.5)
    assert [x.incarnation for x in judge.table.find("bad").losses] == [
        "i",
        "i.1",
        "i.2",
    ]
    assert judge.table.find("bad").n_rounds == 3
    assert [x.incarnation for x in judge.table.find("sound").losses] == [
        "i",
        "i.1",
        "i.2",
    ]
    judge.refute("e", "i")
    assert not is_refused(judge, "bad")


def test_flood_of_new_parts_is_bounded_and_hides_no_crashing_one():
    judge = CrashJudge(n_records=100)
    for n in range(4):
        lose(judge, make_traits("bad"), 10.0 * n + 1.0)
        for k in range(90):
            flood = make_traits(f"flood-{n}-{k}")
            lose(judge, flood, 10.0 * n + 2.0 + 0.01 * k)
            judge.record_progress(flood, 10.0 * n + 3.0 + 0.01 * k)
    assert len(judge.table) <= 100
    assert is_refused(judge, "bad")


def test_record_of_a_popular_part_is_bounded():
    judge = CrashJudge()
    for n in range(200):
        lose(judge, make_traits("popular", f"s{n}"), 10.0 * n + 1.0)
        judge.record_progress(make_traits("popular"), 10.0 * n + 2.0)
    assert len(judge.table.find("popular").losses) <= MAX_LOSSES
    assert not is_refused(judge, "popular")


def part_record(fingerprint, n, organisations, companions):
    loss = Loss(f"e{n}", "i", 0, float(n + 1), round=n + 1, organisations=organisations)
    return SuspectRecord(
        fingerprint=fingerprint,
        organisation="osorno",
        subject="draft",
        losses=(loss,),
        kind=SuspectKind.PROMPT_PART,
        companions=companions,
    )


@pytest.mark.parametrize("seed", range(20))
def test_records_of_parts_merge_in_any_order(seed):
    random_state = random.Random(seed)
    records = [
        part_record(
            "p",
            random_state.randrange(3),
            tuple(sorted(random_state.sample("abc", random_state.randrange(3)))),
            tuple(random_state.sample("xyz", 2)),
        )
        for _ in range(6)
    ]
    results = []
    for _ in range(3):
        random_state.shuffle(records)
        merged = records[0]
        for record in records:
            merged = merge_records(merged, record)
        results.append(
            (merged.companions and tuple(sorted(merged.companions)), merged.losses)
        )
    assert results[0] == results[1] == results[2]


def test_decision_on_many_candidates_is_quick_enough():
    # After a meltdown hundreds of requests have losses of several rounds.
    records = [
        SuspectRecord(
            fingerprint=f"r{n}",
            organisation="osorno",
            subject="draft",
            losses=tuple(
                Loss(f"e{(n + k) % 40}", "i", 0, k + 1.0, round=k + 1) for k in range(3)
            ),
        )
        for n in range(1000)
    ]
    assert len(find_crashing(records)) <= 13
