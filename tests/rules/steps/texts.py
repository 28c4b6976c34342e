"""Steps for formatting, merging and deltas."""

from behave import then, when
from hypothesis import assume, given, settings
from hypothesis import strategies as st

from pulley_rules import (
    CallRule,
    DrainRule,
    HoldRule,
    PinRule,
    Priority,
    ServiceRule,
    Subject,
    TeamRule,
    apply_delta,
    format_rule,
    format_text,
    make_delta,
    merge_texts,
    parse_rules,
    split_text,
)

PROPERTY_SETTINGS = settings(
    max_examples=200, deadline=None, derandomize=True, database=None
)

names = st.from_regex(r"[a-z][a-z0-9.-]{0,12}", fullmatch=True)
digests = st.text("0123456789abcdef", min_size=64, max_size=64)
durations = st.integers(1, 86_400_000)
endpoints = st.integers(1, 65_535).map(lambda port: f"10.0.0.1:{port}")
paths = st.from_regex(r"/[a-z0-9/._-]{0,20}", fullmatch=True)
services = st.builds(
    ServiceRule,
    name=names,
    kind=st.sampled_from(["model", "plain"]),
    load_multiple=st.floats(1, 100),
    deadline_ms=durations,
    queue_ms=durations,
    batch_share=st.floats(0, 1),
    fencing=st.booleans(),
).filter(lambda rule: rule.queue_ms <= rule.deadline_ms)
teams = st.builds(
    TeamRule,
    name=names,
    weight=st.floats(0.001, 1_000),
    max_running=st.integers(0, 1_000_000),
    token_sha256=st.one_of(st.just(""), digests),
)
calls = st.builds(
    CallRule,
    service=st.just("s"),
    method=st.sampled_from(["GET", "POST", "*"]),
    path=paths,
    idempotent=st.one_of(st.none(), st.booleans()),
    priority=st.one_of(st.none(), st.sampled_from(Priority)),
)
places = st.one_of(
    st.tuples(st.just(Subject.ENDPOINT), endpoints),
    st.tuples(st.just(Subject.DATA_CENTRE), names),
)
drains = places.map(lambda place: DrainRule(*place))
holds = st.sampled_from([HoldRule(Subject.SERVICE, "s"), HoldRule(Subject.TEAM, "t")])
pin_subjects = st.one_of(
    st.just((Subject.TEAM, "t")),
    digests.map(lambda digest: (Subject.CHAT, digest[:32])),
)
pins = st.tuples(pin_subjects, places, st.booleans()).map(
    lambda p: PinRule(*p[0], *p[1], p[2])
)
rules = st.one_of(services, teams, calls, holds, drains, pins)
comments = st.from_regex(r"[a-z]+: [a-z#=]( ?[a-z#=]+){0,3}", fullmatch=True)

line_numbers = st.integers(0, 30)
words = st.text("abc #\t", max_size=6)
texts = st.lists(words, max_size=12).map("\n".join)


def build_base(rule: object) -> str:
    """Return lines that define what a rule refers to, without the rule itself."""
    lines = ["service s  # a: b", "team t  # a: b"]
    reserved_name = {ServiceRule: "s", TeamRule: "t"}.get(type(rule))
    assume(reserved_name is None or rule.name not in ("s", "t"))
    return "" if isinstance(rule, TeamRule) else "\n".join(lines) + "\n"


def list_rules(text: str) -> list:
    """Return the rules of a text in file order."""
    return list(parse_rules(text).known.values())


@then("formatted rules parse back to themselves")
def check_formatted_rules(context):
    @PROPERTY_SETTINGS
    @given(rules, comments)
    def check(rule, comment):
        text = build_base(rule) + format_rule(rule, comment)
        assert list_rules(text)[-1] == rule

    check()


@then("formatted texts keep rules and comments and format to themselves")
def check_formatted_texts(context):
    blanks = st.text(" \t", min_size=1, max_size=3)

    @PROPERTY_SETTINGS
    @given(rules, comments, blanks, st.sampled_from(["", "\n\n", "\n# note\n"]))
    def check(rule, comment, blank, between):
        line = format_rule(rule, comment)
        words, _, tail = line.partition("  # ")
        spaced = blank + words.replace(" ", blank) + blank + "#" + tail + between
        text = build_base(rule) + spaced
        formatted = format_text(text)
        assert format_text(formatted) == formatted
        assert list_rules(formatted) == list_rules(text)
        assert line in formatted.split("\n")
        assert ("# note" in formatted) == ("# note" in between)

    check()


@then("parsing with an earlier revision gives the same rules as parsing without it")
def check_incremental_parse(context):
    @PROPERTY_SETTINGS
    @given(rules, rules, comments)
    def check(first, second, comment):
        base = build_base(first) + format_rule(first, comment)
        before = parse_rules(base, 1)
        text = build_base(second) + format_rule(second, comment)
        assert parse_rules(text, 2, before) == parse_rules(text, 2)

    check()


@then("a delta applied to its base gives the text it was made for")
def check_deltas_apply(context):
    @PROPERTY_SETTINGS
    @given(texts, texts)
    def check(before, after):
        delta = make_delta(1, split_text(before), 2, split_text(after))
        assert apply_delta(split_text(before), delta) == split_text(after)

    check()


@then("a delta applied to another base is rejected by its digest")
def check_deltas_reject(context):
    @PROPERTY_SETTINGS
    @given(texts, texts, texts)
    def check(before, after, other):
        delta = make_delta(1, split_text(before), 2, split_text(after))
        result = apply_delta(split_text(other), delta)
        assert not result or result == split_text(after)

    check()


def edit_lines(lines: list[str], changes: dict, side: str) -> str:
    """Return lines with one side's changes, by index of the base line, applied."""
    result = []
    for index, line in enumerate(lines):
        owner, action = changes.get(index, ("", "keep"))
        if owner not in (side, "both"):
            action = "keep"
        if action == "add":
            result.append(f"team n{index}  # a: b")
        if action != "remove":
            result.append(f"{line} now" if action == "change" else line)
    return "\n".join(result)


@then("merges of edits of different lines contain both edits in either order")
def check_merges(context):
    change = st.tuples(
        st.sampled_from(["mine", "theirs", "both"]),
        st.sampled_from(["add", "change", "remove"]),
    )

    @PROPERTY_SETTINGS
    @given(st.integers(1, 31), st.dictionaries(line_numbers, change, max_size=12))
    def check(n_lines, changes):
        lines = [f"team t{index}  # a: b" for index in range(n_lines)]
        base = "\n".join(lines)
        mine = edit_lines(lines, changes, "mine")
        theirs = edit_lines(lines, changes, "theirs")
        all_changes = {i: ("both", action) for i, (_, action) in changes.items()}
        expected = edit_lines(lines, all_changes, "both")
        assume(mine and theirs and expected)
        for first, second in ((mine, theirs), (theirs, mine)):
            merge = merge_texts(base, first, second)
            assert not merge.conflicts, merge.conflicts
            assert merge.text == expected

    check()


@when('"{mine}" and "{theirs}" both replace "{base}"')
def replace_on_both_sides(context, mine, theirs, base):
    first_line = "team a  # a: b\n"
    texts = [
        first_line + line + "\n" if line else first_line
        for line in (base, mine, theirs)
    ]
    context.mine, context.theirs = mine, theirs
    context.merge = merge_texts(*texts)


@when('"" and "{theirs}" both replace "{base}"')
def remove_and_replace(context, theirs, base):
    replace_on_both_sides(context, "", theirs, base)


@when('"{mine}" and "{theirs}" are both added')
def add_on_both_sides(context, mine, theirs):
    base = "team a  # a: b\nteam b  # a: b\n"
    context.mine, context.theirs = mine, theirs
    context.merge = merge_texts(base, f"{mine}\n{base}", base + theirs + "\n")


@then("the conflict shows both lines, maria and turi")
def check_conflict(context):
    shown = "\n".join(map(str, context.merge.conflicts))
    for part in (context.mine, context.theirs, "by maria", "by turi"):
        assert part in shown, shown


@then("the conflict shows the removal and turi's line")
def check_removal_conflict(context):
    shown = "\n".join(map(str, context.merge.conflicts))
    for part in ("(removed)", context.theirs, "by turi"):
        assert part in shown, shown


@then("the merge contains both lines")
def check_merge(context):
    assert not context.merge.conflicts
    lines = context.merge.text.split("\n")
    assert context.mine in lines and context.theirs in lines, lines
