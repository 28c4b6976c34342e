"""Compares ways in which agents can know the mean load of their service.

    python tools/compare_means.py --seed 1

Every engine's load moves at random; a tenth of the messages is lost, and one
engine in a hundred is replaced each second. The same number of exchanges is
made by each way. Printed is the error of the agents' estimates over the true
mean, as the root of the mean square and the 95th percentile.
"""

import argparse
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from pulley_policy.means import MeanEstimate, choose_partners

ROUND_MS = 250
N_ROUNDS = 240
N_WARMUP_ROUNDS = 40
N_PARTNERS = 2
LOSS = 0.1
REPLACED_PER_ROUND = 0.0025
EPOCH_ROUNDS = 20
LEAK = 0.05
SIZES = (5, 10, 50, 461)


@dataclass(slots=True)
class Agent:
    """One agent: its true load and what it keeps to estimate the mean."""

    name: str
    load: float
    value: float = 0.0
    weight: float = 1.0
    shown: float = 0.0
    known: MeanEstimate = field(default_factory=MeanEstimate)


@dataclass(slots=True)
class Fleet:
    """All agents of one service."""

    random: Random
    agents: list[Agent]
    n_made: int = 0


def make_agent(fleet: Fleet) -> Agent:
    """Make an agent that has just joined and knows only its own load."""
    load = fleet.random.uniform(0, 2_000)
    fleet.n_made += 1
    return Agent(f"engine-{fleet.n_made}", load, value=load, shown=load)


def step_loads(fleet: Fleet) -> None:
    """Move every load, and replace a few engines."""
    for index, agent in enumerate(fleet.agents):
        if fleet.random.random() < REPLACED_PER_ROUND:
            fleet.agents[index] = make_agent(fleet)
            continue
        pull = 0.1 * (1_000 - agent.load)
        agent.load = max(0.0, agent.load + pull + fleet.random.gauss(0, 200))


def pairs(fleet: Fleet) -> Iterator[tuple[Agent, Agent]]:
    """Yield the exchanges of one round, those of them that are not lost."""
    for agent in fleet.agents:
        others = [one for one in fleet.agents if one is not agent]
        for other in choose_partners(others, fleet.random.random, N_PARTNERS):
            yield agent, other


def is_lost(fleet: Fleet) -> bool:
    """Draw whether one message gets lost."""
    return fleet.random.random() < LOSS


def sample(fleet: Fleet, round: int) -> None:
    """Tell loads in pairs, keep the latest of each peer (what agents do)."""
    now_ms = round * ROUND_MS
    for first, second in pairs(fleet):
        if is_lost(fleet):
            continue
        second.known.add_sample(first.name, first.load, 1.0, round, now_ms)
        if not is_lost(fleet):
            first.known.add_sample(second.name, second.load, 1.0, round, now_ms)
    for agent in fleet.agents:
        agent.shown = agent.known.estimate(agent.load, 1.0, 9, now_ms).share


def average(fleet: Fleet, round: int) -> None:
    """Average values in pairs, each drawn a little to the agent's own load."""
    for first, second in pairs(fleet):
        if is_lost(fleet):
            continue
        middle = (first.value + second.value) / 2
        second.value = middle
        if not is_lost(fleet):
            first.value = middle
    for agent in fleet.agents:
        agent.value += LEAK * (agent.load - agent.value)
        agent.shown = agent.value


def push_sum(fleet: Fleet, round: int) -> None:
    """Push halves of (value, weight), started anew each epoch."""
    if round % EPOCH_ROUNDS == 0:
        for agent in fleet.agents:
            agent.shown = agent.value / max(agent.weight, 1e-9)
            agent.value, agent.weight = agent.load, 1.0
    for first, second in pairs(fleet):
        value, weight = first.value / 2, first.weight / 2
        first.value, first.weight = value, weight
        if not is_lost(fleet):
            second.value += value
            second.weight += weight


def measure(
    way: Callable[[Fleet, int], None], n_agents: int, seed: int
) -> tuple[float, float]:
    """Give the root mean square and the 95th percentile of relative errors."""
    fleet = Fleet(Random(f"{seed} {n_agents}"), [])
    fleet.agents = [make_agent(fleet) for _ in range(n_agents)]
    errors = []
    for round in range(N_ROUNDS):
        step_loads(fleet)
        way(fleet, round)
        if round >= N_WARMUP_ROUNDS:
            mean = sum(agent.load for agent in fleet.agents) / n_agents
            errors += [abs(agent.shown - mean) / mean for agent in fleet.agents]
    errors.sort()
    squares = sum(error * error for error in errors) / len(errors)
    return squares**0.5, errors[int(0.95 * len(errors))]


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    print("| engines | way | error, rms | error, p95 |\n|---|---|---|---|")
    for n_agents in SIZES:
        for way in (sample, average, push_sum):
            rms, p95 = measure(way, n_agents, seed)
            print(f"| {n_agents} | {way.__name__} | {rms:.3f} | {p95:.3f} |")


if __name__ == "__main__":
    main()
