"""Steps for the operators' commands, run as processes against a running fleet."""

import asyncio
import json
import sys
import tempfile
from hashlib import sha256
from pathlib import Path

from behave import given, then, when

ROOT = Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / "tools"))

from fleets import RULES_KEY, run_fleet, start_routers  # noqa: E402
from plans import one_place_plan  # noqa: E402
from processes import end_process  # noqa: E402

from pulley_base import Clock  # noqa: E402
from pulley_fleet.settings import digest_fleet  # noqa: E402
from pulley_fleet.statuses import ask_status  # noqa: E402
from pulley_http import fetch, find_header  # noqa: E402
from pulley_standins.store_state import StoreState, encode_base64, put_key  # noqa: E402
from pulley_standins.stores import set_faults  # noqa: E402

COMMAND = Path(sys.executable).parent / "plantainpulley"
TIMEOUT_S = 30
POLL_INTERVAL_S = 0.1


def run(context, work):
    """Run a coroutine on the scenario's loop, with a timeout."""
    return context.loop.run_until_complete(asyncio.wait_for(work, TIMEOUT_S))


def run_command(context, *arguments):
    """Run an operators' command; return exit code, output and error output."""

    async def work():
        location_flags = getattr(context, "location_flags", [])
        process = await asyncio.create_subprocess_exec(
            str(COMMAND), *arguments, *location_flags, stdout=-1, stderr=-1
        )
        output, errors = await process.communicate()
        return process.returncode, output.decode(), errors.decode()

    return run(context, work())


def apply_text(context, content, *flags):
    """Apply a file's content and store the result in the context."""
    with tempfile.NamedTemporaryFile("w", suffix=".txt") as file:
        file.write(content)
        file.flush()
        context.result = run_command(context, "rules", "apply", file.name, *flags)


async def poll_until(check):
    """Poll an async check until its result is true, and return that result."""
    while True:
        found = await check()
        if found:
            return found
        await asyncio.sleep(POLL_INTERVAL_S)


@given("a fleet of {n:d} agents and 1 router")
def start_fleet(context, n):
    context.loop = asyncio.new_event_loop()
    context.running = run_fleet(one_place_plan(n))
    fleet = context.fleet = run(context, context.running.__aenter__())
    context.location_flags = ["--store", fleet.store_address]
    context.location_flags += ["--instances", fleet.list_address, "--fleet", fleet.name]

    def stop():
        run(context, context.running.__aexit__(None, None, None))
        context.loop.close()

    context.add_cleanup(stop)


@when('maria shows the rules and adds "{line}"')
def show_and_add(context, line):
    code, shown, errors = run_command(context, "rules", "show")
    assert code == 0, errors
    apply_text(context, shown + line + "\n")


@when("maria and turi both show the rules")
def both_show(context):
    code, context.shown, errors = run_command(context, "rules", "show")
    assert code == 0, errors
    context.n_written = stored_entry(context).version


@when('{who} applies "{line}"')
def apply_line(context, who, line):
    apply_text(context, context.shown + line + "\n")


@when('maria dry-runs "{line}"')
def dry_run(context, line):
    both_show(context)
    apply_text(context, context.shown + line + "\n", "--dry-run")


@then('rules apply exits {code:d} and says "{words}"')
def apply_says(context, code, words):
    assert context.result[0] == code, context.result
    assert words in context.result[1], context.result


@then("turi's rules apply exits 3 and shows both lines, maria and turi")
def conflict_shown(context):
    code, _, errors = context.result
    assert code == 3, context.result
    for part in ("weight=2", "weight=3", "by maria", "by turi", "nothing written"):
        assert part in errors, errors


@then("rules apply exits 4 and says nothing was written")
def nothing_written(context):
    code, _, errors = context.result
    assert code == 4 and "nothing written" in errors, context.result
    assert stored_entry(context).version == context.n_written


@then('every process holds "{line}"')
def every_process_holds(context, line):
    async def check():
        code, shown, _ = await fetch_common_rules(context)
        return code == 0 and line in shown.split("\n")

    run(context, poll_until(check))


async def ask_all(context):
    """Return every process's status page, or a sentinel for one without an answer."""
    number = digest_fleet(context.fleet.name)
    return [await ask_status(peer, Clock(), number) for peer in peers(context)]


async def fetch_common_rules(context):
    """Return code 0 and the rules that all processes have in force.

    The code is 1 if a process does not answer or the processes' rules differ.
    """
    statuses = await ask_all(context)
    revisions = {status["revision"] for status in statuses if status}
    if len(revisions) != 1 or not all(statuses):
        return 1, "", ""
    number = digest_fleet(context.fleet.name)
    texts = [await fetch_text(peer, number) for peer in peers(context)]
    same = len(set(texts)) == 1
    return (0 if same else 1), texts[0], ""


async def fetch_text(peer, number):
    """Fetch the rules text that a process has in force."""
    from pulley_fleet.followers import Follower
    from pulley_fleet.rules_reads import fetch_rules
    from pulley_wire import FrameStamp, Traffic

    follower = Follower(FrameStamp(fleet=number))
    await fetch_rules(follower, peer, Traffic())
    return follower.rules.text


def peers(context):
    """Return the peer address of every process."""
    fleet = context.fleet
    agents = [endpoint.agent.address for endpoint in fleet.endpoints]
    return agents + [router.addresses["peer"] for router in fleet.routers]


def stored_entry(context):
    """Return the entry of the rules file in the store."""
    return context.fleet.store.state.entries[RULES_KEY]


@then('rules history says "{words}"')
def history_says(context, words):
    code, shown, errors = run_command(context, "rules", "history")
    assert code == 0 and words in shown, (shown, errors)


@then('status exits 0 and says "{words}"')
def status_says(context, words):
    code, shown, errors = run_command(context, "status")
    assert code == 0 and words in shown, (shown, errors)


@then("status --json lists 3 agents, 1 router and each agent's load and bound")
def status_json(context):
    document = json.loads(run_command(context, "status", "--json")[1])
    roles = [process["role"] for process in document["processes"]]
    assert sorted(roles) == ["agent"] * 3 + ["router"]
    agents = [p for p in document["processes"] if p["role"] == "agent"]
    assert all("load" in agent and "bound" in agent for agent in agents)
    assert "refusals" in document and document["quarantined"] == []


@when("the store loses the reply to the next write")
def lose_reply(context):
    run(context, set_faults(context.fleet.store, {"lose_replies": 1}))


@then("the file was written once")
def written_once(context):
    assert stored_entry(context).version == context.n_written + 1
    assert context.fleet.store.calls["lost"] == 1


@then("the file was not written")
def not_written(context):
    assert stored_entry(context).version == context.n_written


@when("the store goes down")
def store_down(context):
    run(context, set_faults(context.fleet.store, {"outage": "refuse"}))


@when("the store goes down as soon as the next write has taken effect")
def down_after_write(context):
    async def watch():
        before = stored_entry(context).mod_revision

        async def is_written():
            return stored_entry(context).mod_revision > before

        while not await is_written():
            await asyncio.sleep(0)
        await asyncio.sleep(0.02)
        await set_faults(context.fleet.store, {"outage": "hang"})

    context.watching = context.loop.create_task(watch())


@then("rules show prints the rules in force, fetched from a process")
def shown_from_process(context):
    code, shown, errors = run_command(context, "rules", "show")
    assert code == 0, errors
    body = [part.partition("\n")[2] for part in (shown, context.shown)]
    assert body[0] == body[1]


@when("the router is replaced")
def replace_router(context):
    async def work():
        router = context.fleet.routers.pop()
        await end_process(router)
        await set_faults(context.fleet.store, {"outage": "hang"})
        await start_routers(context.fleet)

    run(context, work())


@when('the file in the store is overwritten with "{content}"')
def overwrite_file(context, content):
    context.before = run(context, fetch_common_rules(context))[1]
    state = context.fleet.store.state
    put = {"key": encode_base64(RULES_KEY), "value": encode_base64(content.encode())}
    put_key(state, put, state.revision + 1)


@then("every process rejects it, reports it and keeps its previous rules")
def rejected_everywhere(context):
    async def check():
        statuses = await ask_all(context)
        return all(s and s["rejected_revision"] > s["revision"] for s in statuses)

    run(context, poll_until(check))
    assert run(context, fetch_common_rules(context))[1] == context.before


@then('turi\'s edit "{line}" is accepted and in force')
def edit_accepted(context, line):
    apply_text(context, context.shown + line + "\n")
    assert context.result[0] == 0, context.result
    every_process_holds(context, line)


@when("the store loses all its data")
def reset_store(context):
    context.fleet.store.state = StoreState()


@when("rules check reads a file with two errors")
def check_errors(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    with tempfile.NamedTemporaryFile("w", suffix=".txt") as file:
        file.write("taem a # a: b\nteam b wieght=2 # a: b\n")
        file.flush()
        context.result = run_command(context, "rules", "check", file.name)


@then("it exits 1 and reports both lines")
def reports_both(context):
    code, _, errors = context.result
    assert code == 1 and "line 1" in errors and "line 2" in errors, errors


@when('the teams are replaced by one with the token "{token}"')
def replace_teams(context, token):
    both_show(context)
    kept = [line for line in context.shown.split("\n") if line[:5] != "team "]
    digest = sha256(token.encode()).hexdigest()
    team = f"team fidati token-sha256={digest}  # maria: tokens"
    apply_text(context, "\n".join([*kept, team]))
    assert context.result[0] == 0, context.result


def send(context, *header):
    """Send a completion to the router; return status, reason and outcome."""
    headers = [(b"content-type", b"application/json"), header]
    messages = [{"role": "user", "content": "ash or olive?"}]
    body = json.dumps({"messages": messages, "max_tokens": 4}).encode()
    target = "/consiglio/v1/chat/completions"

    async def work():
        fleet = context.fleet
        address = fleet.routers[0].address
        return await fetch(
            fleet.client, address, "POST", target, headers=headers, body=body
        )

    answer = run(context, work())
    values = [
        (find_header(answer.headers, name) or b"").decode()
        for name in (b"pulley-reason", b"pulley-outcome")
    ]
    return answer.status, *values


@then('a request of team {team} gets {status:d} for "{reason}" as not-run')
def team_is_refused(context, team, status, reason):
    found = send(context, b"pulley-team", team.encode())
    assert found == (status, reason, "not-run"), found


@then('a request with the token "{token}" gets {status:d} for "{reason}" as not-run')
def token_is_refused(context, token, status, reason):
    found = send(context, b"authorization", b"Bearer " + token.encode())
    assert found == (status, reason, "not-run"), found


@then("a request of team {team} gets 200")
def team_is_served(context, team):
    assert send(context, b"pulley-team", team.encode())[0] == 200


@then('a request with the token "{token}" gets 200')
def token_is_served(context, token):
    assert send(context, b"authorization", b"Bearer " + token.encode())[0] == 200
