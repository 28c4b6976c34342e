"""Parse the text of a rules file into rules."""

from collections.abc import Iterator

from .checks import Rule, check_rules, check_size
from .errors import Problem, RulesError, suggest_word
from .grammar import SYNTAXES, Argument, Option, RuleSyntax
from .lines import Line, Word, parse_author, split_line
from .models import (
    CallRule,
    DrainRule,
    HoldRule,
    PinRule,
    Rules,
    ServiceRule,
    TeamRule,
)

EXPECTED_COMMENT = "a comment '# who: why' that says who asked for the rule"


def parse_rules(text: str, revision: int = 0, previous: Rules | None = None) -> Rules:
    """Parse and check a whole rules file.

    Lines that are unchanged from ``previous``, the rules of an earlier revision,
    are not parsed again. Raises RulesError with all problems of the file.

    >>> parse_rules("team orto weight=2  # maria: large team").teams["orto"].weight
    2.0
    """
    problems = list(check_size(text))
    known = previous.known if previous is not None else {}
    parsed = list(parse_lines(text, known, problems))
    problems.extend(check_rules(parsed))
    if problems:
        raise RulesError(problems)
    return collect_rules(parsed, text, revision)


def parse_lines(
    text: str, known: dict[str, object], problems: list[Problem]
) -> Iterator[Rule]:
    """Yield the rule of each line; append what is wrong to ``problems``."""
    for number, line in enumerate(text.split("\n"), 1):
        value = known.get(line)
        if value is None:
            value = parse_line(split_line(number, line), problems)
        if value is not None:
            yield Rule(number, line, value)


def parse_line(line: Line, problems: list[Problem]) -> object | None:
    """Parse one line; return None if it has no rule or its rule is invalid."""
    if not line.words:
        return None
    line_problems = list(check_comment(line))
    value = parse_rule(line, line_problems)
    problems.extend(line_problems)
    return value


def check_comment(line: Line) -> Iterator[Problem]:
    """Yield a problem if a rule's comment is not of the form ``# who: why``."""
    comment = line.comment or ""
    if parse_author(comment) and comment.partition(":")[2].strip():
        return
    found = repr(comment) if comment else ""
    yield Problem(line.number, line.comment_column, found, EXPECTED_COMMENT)


def parse_rule(line: Line, problems: list[Problem]) -> object | None:
    """Parse the words of one line; return None if any of them is invalid."""
    keyword = line.words[0]
    syntax = SYNTAXES.get(keyword.text)
    if syntax is None:
        expected = f"one of {', '.join(SYNTAXES)}"
        problems.append(make_word_problem(line, keyword, expected, tuple(SYNTAXES)))
        return None
    n_before = len(problems)
    fields: dict[str, object] = {}
    words = line.words[1:]
    parse_arguments(line, syntax, words[: len(syntax.arguments)], fields, problems)
    parse_options(line, syntax, words[len(syntax.arguments) :], fields, problems)
    return syntax.build(**fields) if len(problems) == n_before else None


def parse_arguments(
    line: Line, syntax: RuleSyntax, words, fields: dict, problems: list
):
    """Parse the required words of a rule into ``fields``."""
    preceding = ""
    for argument, word in zip(syntax.arguments, words):
        try:
            value = parse_argument(argument, word.text, preceding)
        except ValueError as error:
            problems.append(make_word_problem(line, word, str(error), argument.choices))
        else:
            if argument.name:
                fields[argument.name] = value
        preceding = word.text
    if len(words) < len(syntax.arguments):
        last = words[-1] if words else line.words[0]
        column = last.column + len(last.text)
        problems.append(Problem(line.number, column, "", syntax.usage))


def parse_argument(argument: Argument, text: str, preceding: str) -> object:
    """Parse one required word; ``preceding`` is the word before it."""
    if argument.literal:
        if text != argument.literal:
            raise ValueError(repr(argument.literal))
        return text
    if argument.parsers_by_subject is not None:
        parse = argument.parsers_by_subject.get(preceding)
        return parse(text) if parse else text
    return argument.parse(text)


def parse_options(line: Line, syntax: RuleSyntax, words, fields: dict, problems: list):
    """Parse the options of a rule into ``fields``."""
    for word in words:
        key, equals, text = word.text.partition("=")
        option = syntax.options.get(key)
        if option is None:
            expected = f"one of {', '.join(syntax.options)}"
            expected = expected if syntax.options else "the end of the rule"
            problem = make_word_problem(
                line, word, expected, tuple(syntax.options), key
            )
        elif option.name in fields:
            problem = make_word_problem(line, word, f"{key} once only", ())
        else:
            problem = parse_option(line, option, word, text, equals, fields)
        if problem is not None:
            problems.append(problem)


def parse_option(
    line: Line, option: Option, word: Word, text: str, equals: str, fields: dict
) -> Problem | None:
    """Parse one option into ``fields``; return its problem, or None if it is valid."""
    if not equals and option.is_flag:
        text = "yes"
    try:
        fields[option.name] = option.parse(text)
    except ValueError as error:
        return make_word_problem(line, word, str(error), option.choices, text)
    return None


def make_word_problem(
    line: Line, word: Word, expected: str, choices, text: str | None = None
) -> Problem:
    """Build the problem of a word that is not what was expected."""
    suggestion = suggest_word(word.text if text is None else text, choices)
    return Problem(line.number, word.column, repr(word.text), expected, suggestion)


def collect_rules(parsed: list[Rule], text: str, revision: int) -> Rules:
    """Build the Rules of a file that has passed its checks."""
    values = [rule.value for rule in parsed]
    teams = [value for value in values if isinstance(value, TeamRule)]
    return Rules(
        revision=revision,
        services={v.name: v for v in values if isinstance(v, ServiceRule)},
        teams={team.name: team for team in teams},
        calls=tuple(v for v in values if isinstance(v, CallRule)),
        holds=frozenset(v for v in values if isinstance(v, HoldRule)),
        drains=frozenset(v for v in values if isinstance(v, DrainRule)),
        pins=tuple(v for v in values if isinstance(v, PinRule)),
        tokens={team.token_sha256: team.name for team in teams if team.token_sha256},
        text=text,
        known={rule.text: rule.value for rule in parsed},
    )
