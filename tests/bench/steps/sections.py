"""Steps for tables in the sections of a page, and for doctests."""

import doctest

import plots
import replays
from behave import then

PAGE = """# Page

## a

before

| one |
|---|

after

## b

| two |
|---|

## c

three
"""


@then("replacing the table of one section leaves the rest of the page unchanged")
def check_replaced_tables(context):
    for name, old in (("a", "one"), ("b", "two")):
        page = plots.replace_table(PAGE, name, "| new |\n|---|")
        assert page == PAGE.replace(old, "new"), page


@then("a table is added to a section without one, and to a page without the section")
def check_added_tables(context):
    table = "| new |\n|---|"
    assert plots.replace_table(PAGE, "c", table) == PAGE + f"\n{table}\n"
    page = plots.replace_table(PAGE, "d", table)
    assert page.startswith(PAGE) and page.endswith(f"{table}\n")
    assert plots.replace_table(page, "d", table) == page


@then("the doctests of plots and replays pass")
def check_doctests(context):
    for module in (plots, replays):
        results = doctest.testmod(module)
        assert results.failed == 0 and results.attempted >= 2
