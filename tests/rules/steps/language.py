"""Steps for the rules language."""

import re
from hashlib import sha256
from pathlib import Path

from behave import then, when

from pulley_rules import (
    Priority,
    RulesError,
    find_call,
    find_placement,
    find_team,
    is_drained,
    is_held,
    parse_rules,
)

PAGE = Path(__file__).resolve().parents[3] / "docs" / "RULES.md"
EXAMPLE = re.compile(r"## Example: ([^\n]+)\n+```rules\n(.*?)```", re.DOTALL)


def read_example(word: str) -> str:
    """Return the one example of RULES.md whose title contains ``word``."""
    found = [text for title, text in EXAMPLE.findall(PAGE.read_text()) if word in title]
    assert len(found) == 1, f"{len(found)} examples for {word}"
    return found[0]


def list_problems(text: str) -> list:
    """Return the problems of a text, an empty list if it is valid."""
    try:
        parse_rules(text)
    except RulesError as error:
        return error.problems
    return []


@when("this file is parsed")
def parse_file(context):
    context.problems = list_problems(context.text)


@then("the problems are")
def check_problems(context):
    found = [
        (p.line, p.column, p.found.strip("'"), p.expected, p.suggestion)
        for p in context.problems
    ]
    expected = [(int(row[0]), int(row[1]), *row.cells[2:]) for row in context.table]
    assert found == expected, "\n".join(map(str, found))


@when('the lines "{first}" and "{second}" are parsed beside a service s and a team t')
def parse_pair(context, first, second):
    lines = ("service s", "team t", first, second)
    text = "\n".join(f"{line}  # maria: test" for line in lines)
    context.problems = list_problems(text)


@then('line {number:d} is rejected with "{expected}"')
def check_line_rejected(context, number, expected):
    found = [p for p in context.problems if p.line == number]
    assert any(expected in p.expected for p in found), context.problems


@when("teams a and b share a token and team c has none")
def share_token(context):
    token = sha256(b"x").hexdigest()
    lines = (f"team a token-sha256={token}", f"team b token-sha256={token}", "team c")
    context.problems = list_problems("\n".join(f"{line} # a: b" for line in lines))


@then('team {name} is rejected with "{expected}"')
def check_team_rejected(context, name, expected):
    check_line_rejected(context, "abc".index(name) + 1, expected)


@when("a file of {n_bytes:d} bytes is parsed")
def parse_size(context, n_bytes):
    context.problems = list_problems("#" * n_bytes)


@then('the problem is "{expected}"')
def check_only_problem(context, expected):
    assert [p.expected for p in context.problems] == [expected]


@when('the rules of the example "{word}" are in force')
def parse_example(context, word):
    context.rules = parse_rules(read_example(word))


@when('the calls "{a}", "{b}" and "{c}" are in force')
def parse_calls(context, a, b, c):
    lines = ["service s", *(f"call s {call}" for call in (a, b, c))]
    context.rules = parse_rules("\n".join(f"{line} # a: b" for line in lines))


@then("{method} {path} of {service} is {idempotence} and {priority}")
def check_call(context, method, path, service, idempotence, priority):
    call = find_call(context.rules, service, method, path)
    assert call.idempotent == (idempotence == "idempotent"), call
    assert call.priority is Priority[priority.upper()], call


@when('the rules give team {team} the token "{token}"')
def parse_token(context, team, token):
    digest = sha256(token.encode()).hexdigest()
    context.rules = parse_rules(f"team {team} token-sha256={digest}  # a: b")


@then('the token "{token}" belongs to team {team}')
def check_token(context, token, team):
    assert find_team(context.rules, token).name == team


@then('the token "{token}" belongs to no team')
def check_token_unknown(context, token):
    assert not find_team(context.rules, token)


@then("requests of team {held} are held and those of team {free} are not")
def check_team_held(context, held, free):
    assert is_held(context.rules, "glue-model", held)
    assert not is_held(context.rules, "glue-model", free)


@then("an endpoint in {drained} is drained and one in {free} is not")
def check_place_drained(context, drained, free):
    assert is_drained(context.rules, "127.0.0.1:1", drained)
    assert not is_drained(context.rules, "127.0.0.1:1", free)


@then("the chat {chat} of team {team} goes to {endpoint} only")
def check_chat_pinned(context, chat, team, endpoint):
    placement = find_placement(context.rules, bytes.fromhex(chat), team)
    assert placement.pinned_endpoints == {endpoint}
    elsewhere = find_placement(context.rules, bytes(16), team)
    assert not elsewhere.pinned_endpoints


@then("the examples of RULES.md are valid and define the services")
def check_examples(context):
    for example, services in context.table:
        rules = parse_rules(read_example(example))
        assert sorted(rules.services) == sorted(services.split(", "))
        assert rules.teams and rules.calls
