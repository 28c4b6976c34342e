"""A state machine of editors, the store and processes that install the rules.

The oracle is one list of accepted lines. Faults: replies are lost, the store has
outages, its key is deleted or damaged by hand, processes pause and restart, and
messages are lost, delayed and reordered.
"""

from dataclasses import dataclass, field
from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pulley_rules import Delta, split_text
from pulley_rules.edits import (
    PreparedEdit,
    StoredFile,
    contains_nonce,
    is_valid,
    prepare_edit,
    stored_revision,
)
from pulley_rules.following import (
    RulesState,
    RulesText,
    answer_request,
    install_delta,
    install_text,
    make_latest_delta,
    should_request,
)
from pulley_rules.headers import find_revision, split_header

N_EDITORS = 3
N_PROCESSES = 4
INVALID_TEXT = "team  who\n"

editors = st.integers(0, N_EDITORS - 1)
processes = st.integers(0, N_PROCESSES - 1)


@dataclass(slots=True)
class Editor:
    """One operator: the text they started from, their line and their last write.

    ``write_unconfirmed`` is True while the reply to that write is missing.
    """

    base: str = ""
    line: str = ""
    last_read: StoredFile | None = None
    nonce: str = ""
    write_unconfirmed: bool = False


@dataclass(slots=True)
class Notice:
    """Announces the revision that the sender holds."""

    revision: int


@dataclass(slots=True)
class RulesRequest:
    """Requests what is newer than revision ``have``."""

    have: int


@dataclass(slots=True)
class Message:
    """One datagram in flight."""

    sender: int
    receiver: int
    content: object


@dataclass(slots=True)
class Process:
    """One process and the highest revision it has shown since its start."""

    rules_state: RulesState = field(default_factory=RulesState)
    paused: bool = False
    highest_shown: int = 0


class DistributionMachine(RuleBasedStateMachine):
    """Runs editors, the store, processes and the messages between them."""

    def __init__(self):
        super().__init__()
        self.store = StoredFile()
        self.last_mod_revision = 0
        self.store_up = True
        self.n_steps_down = 0
        self.editors = [Editor() for _ in range(N_EDITORS)]
        self.processes = [Process() for _ in range(N_PROCESSES)]
        self.messages: list[Message] = []
        self.accepted: list[str] = []
        self.text_by_revision: dict[int, str] = {}
        self.n_edits = 0
        self.now_ms = 0
        self.random = Random(1)

    # Editors

    @precondition(lambda self: self.store_up)
    @rule(number=editors, replace=st.booleans())
    def begin_edit(self, number, replace):
        editor = self.editors[number]
        if editor.write_unconfirmed or (
            self.store.mod_revision and not is_valid(self.store)
        ):
            return
        editor.base = split_header(self.store.text)[1]
        editor.last_read = self.store
        self.n_edits += 1
        names = [line.split()[1] for line in split_text(editor.base) if line]
        name = self.random.choice(names) if replace and names else f"t{self.n_edits}"
        editor.line = f"team {name} max-running={self.n_edits}  # e{number}: test"

    @precondition(lambda self: self.store_up)
    @rule(
        numbers=st.lists(editors, min_size=2, max_size=4), tells_process=st.booleans()
    )
    def edit_concurrently(self, numbers, tells_process):
        for number in numbers:
            if not self.editors[number].write_unconfirmed:
                self.begin_edit(number, replace=tells_process)
        for number in numbers:
            self.write_edit(number, loses_reply=False, tells_process=tells_process)

    @precondition(lambda self: self.store_up)
    @rule(number=editors, loses_reply=st.booleans(), tells_process=st.booleans())
    def write_edit(self, number, loses_reply, tells_process):
        editor = self.editors[number]
        if not editor.line and not editor.write_unconfirmed:
            self.begin_edit(number, replace=loses_reply)
        if editor.last_read is None or editor.write_unconfirmed or not editor.line:
            return
        editor.nonce = f"n{self.n_edits}x{number}x{self.last_mod_revision}"
        mine = change_line(editor.base, editor.line)
        held = self.find_highest_copy()
        prepared = prepare_edit(editor.base, mine, editor.last_read, held, editor.nonce)
        editor.last_read = self.store
        if not isinstance(prepared, PreparedEdit):
            editor.line = ""
        elif self.store.mod_revision == prepared.expected_revision:
            self.last_mod_revision += 1
            self.store = StoredFile(prepared.text, self.last_mod_revision)
            self.record_accepted(editor.line)
            editor.write_unconfirmed = loses_reply
            if not loses_reply:
                self.finish_edit(editor, tells_process)

    @precondition(lambda self: self.store_up)
    @rule(number=editors, tells_process=st.booleans())
    def read_back(self, number, tells_process):
        editor = self.editors[number]
        if not editor.write_unconfirmed:
            return
        editor.write_unconfirmed = False
        if is_valid(self.store) and contains_nonce(self.store.text, editor.nonce):
            self.finish_edit(editor, tells_process)
        editor.line = ""

    def finish_edit(self, editor, tells_process):
        """Send the change that was just accepted to one process."""
        editor.line = ""
        if tells_process:
            revision = stored_revision(self.store)
            receiver = self.random.randrange(N_PROCESSES)
            self.send(-1, receiver, RulesText(revision, self.store.text))

    def record_accepted(self, line):
        """Record a line in the oracle's list in place of the rule's previous line."""
        name = line.split()[1]
        self.accepted = [held for held in self.accepted if held.split()[1] != name]
        self.accepted.append(line)
        revision = stored_revision(self.store)
        assert revision > self.find_highest_copy().revision
        assert revision not in self.text_by_revision
        self.text_by_revision[revision] = self.store.text
        body = split_header(self.store.text)[1]
        assert sorted(filter(None, split_text(body))) == sorted(self.accepted)

    # The store

    @rule(n_steps=st.integers(1, 8))
    def fail_store(self, n_steps):
        self.store_up = False
        self.n_steps_down = n_steps

    @invariant()
    def end_outage(self):
        """End an outage after its number of steps."""
        self.n_steps_down -= 1
        self.store_up = self.n_steps_down <= 0

    @precondition(lambda self: self.all_lines_held())
    @rule()
    def delete_stored_file(self):
        self.last_mod_revision += 1
        self.store = StoredFile()

    @precondition(lambda self: self.all_lines_held())
    @rule()
    def reset_store(self):
        """Set up the store anew, but never between an editor's read and write."""
        self.last_mod_revision = 0
        self.store = StoredFile()
        for editor in self.editors:
            editor.last_read = None
            editor.line = ""

    @precondition(lambda self: self.all_lines_held())
    @rule()
    def damage_stored_file(self):
        self.last_mod_revision += 1
        self.store = StoredFile(INVALID_TEXT, self.last_mod_revision)

    def all_lines_held(self):
        """Check whether a process holds all accepted lines, so the store may lose them.

        No write may be unconfirmed: its editor could not learn the true result from
        a file that was overwritten by hand.
        """
        held = self.find_highest_copy().revision
        last = max(self.text_by_revision, default=0)
        return held >= last > 0 and not any(e.write_unconfirmed for e in self.editors)

    # Processes

    @precondition(lambda self: self.store_up)
    @rule(number=processes)
    def read_store(self, number):
        process = self.processes[number]
        if process.paused or not self.store.mod_revision:
            return
        revision = find_revision(self.store.text, self.store.mod_revision)
        before = process.rules_state.rules.revision
        install_text(process.rules_state, self.store.text, revision)
        self.forward_revision(number, before)

    @rule(number=processes, receiver=processes)
    def gossip(self, number, receiver):
        if not self.processes[number].paused:
            held = self.processes[number].rules_state.rules.revision
            self.send(number, receiver, Notice(held))

    @precondition(lambda self: self.messages)
    @rule(data=st.data())
    def deliver_message(self, data):
        index = data.draw(st.integers(0, len(self.messages) - 1))
        if not self.processes[self.messages[index].receiver].paused:
            self.receive(self.messages.pop(index))

    @precondition(lambda self: self.messages)
    @rule(data=st.data())
    def lose_message(self, data):
        del self.messages[data.draw(st.integers(0, len(self.messages) - 1))]

    @rule(number=processes)
    def pause_or_resume(self, number):
        self.processes[number].paused = not self.processes[number].paused

    @rule(number=processes)
    def restart_process(self, number):
        others = [p for i, p in enumerate(self.processes) if i != number]
        last = max(self.text_by_revision, default=0)
        highest_elsewhere = max(
            process.rules_state.rules.revision for process in others
        )
        stored = stored_revision(self.store) if is_valid(self.store) else 0
        if max(highest_elsewhere, stored) >= last:
            self.processes[number] = Process()

    @rule(step_ms=st.sampled_from([50, 300]))
    def pass_time(self, step_ms):
        self.now_ms += step_ms

    def send(self, sender, receiver, content):
        """Add a message to those in flight."""
        self.messages.append(Message(sender, receiver, content))

    def receive(self, message):
        """Process a message at its receiver."""
        rules_state = self.processes[message.receiver].rules_state
        content, sender = message.content, message.sender
        before = rules_state.rules.revision
        match content:
            case Notice():
                self.answer_revision(message.receiver, sender, content.revision)
            case RulesRequest():
                answer = answer_request(rules_state, content.have)
                self.send(message.receiver, sender, answer or Notice(before))
            case Delta():
                install_delta(rules_state, content)
                self.answer_revision(message.receiver, sender, content.revision)
            case RulesText():
                install_text(rules_state, content.text, content.revision)
        self.forward_revision(message.receiver, before)

    def answer_revision(self, number, peer, revision):
        """Request the rules from a peer that is ahead; notify one that is behind."""
        rules_state = self.processes[number].rules_state
        if peer < 0:
            return
        if revision < rules_state.rules.revision:
            self.send(number, peer, Notice(rules_state.rules.revision))
        elif should_request(rules_state, revision, self.now_ms):
            self.send(number, peer, RulesRequest(rules_state.rules.revision))

    def forward_revision(self, number, before):
        """Send a newly installed revision to one peer."""
        rules_state = self.processes[number].rules_state
        if rules_state.rules.revision > before:
            peer = self.random.randrange(N_PROCESSES)
            news = make_latest_delta(rules_state) or Notice(rules_state.rules.revision)
            self.send(number, peer, news)

    def find_highest_copy(self):
        """Return the text with the highest revision that a process holds."""
        rules = max(
            (process.rules_state.rules for process in self.processes),
            key=lambda rules: rules.revision,
        )
        return RulesText(rules.revision, rules.text)

    # Invariants

    @invariant()
    def no_revision_decreases(self):
        for process in self.processes:
            revision = process.rules_state.rules.revision
            assert revision >= process.highest_shown
            process.highest_shown = revision

    @invariant()
    def revisions_have_one_text(self):
        for process in self.processes:
            rules = process.rules_state.rules
            assert (
                rules.revision == 0
                or rules.text == self.text_by_revision[rules.revision]
            )

    def teardown(self):
        """End every fault: peers agree at once, then all reach the last revision."""
        for process in self.processes:
            process.paused = False
        self.deliver_all()
        held = self.find_highest_copy().revision
        self.exchange_revisions()
        assert {p.rules_state.rules.revision for p in self.processes} == {held}
        self.store_up = True
        for number in range(N_PROCESSES):
            self.read_store(number)
        self.exchange_revisions()
        last = max(self.text_by_revision, default=0)
        assert {p.rules_state.rules.revision for p in self.processes} == {last}
        for process in self.processes:
            lines = split_text(split_header(process.rules_state.rules.text)[1])
            assert sorted(filter(None, lines)) == sorted(self.accepted)

    def exchange_revisions(self):
        """Send every process's revision to every other, without any loss."""
        for sender in range(N_PROCESSES):
            for receiver in range(N_PROCESSES):
                self.now_ms += 300
                held = self.processes[sender].rules_state.rules.revision
                self.send(sender, receiver, Notice(held))
                self.deliver_all()

    def deliver_all(self):
        """Deliver messages until none is in flight."""
        for _ in range(10_000):
            if not self.messages:
                return
            self.now_ms += 300
            message = self.messages.pop(0)
            if message.receiver >= 0:
                self.receive(message)
        raise AssertionError("messages are still in flight after 10,000 deliveries")


def change_line(base: str, line: str) -> str:
    """Return a text with one team's line replaced or added."""
    name = line.split()[:2]
    lines = [held for held in split_text(base) if held and held.split()[:2] != name]
    position = next(
        (
            index
            for index, held in enumerate(filter(None, split_text(base)))
            if held.split()[:2] == name
        ),
        len(lines),
    )
    lines.insert(position, line)
    return "\n".join(lines) + "\n"
