"""Compare methods by which agents estimate the mean load of their service.

    python tools/compare_means.py --seed 1

Each engine's load is a mean-reverting random walk; a tenth of the messages is lost,
and one engine in a hundred is replaced each second. Every method makes the
same number of exchanges. The table shows the error of the agents' estimates relative
to the true mean, as root mean square and 95th percentile.
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
LOSS_PROBABILITY = 0.1
REPLACED_SHARE_PER_ROUND = 0.0025
ROUNDS_PER_EPOCH = 20
LEAK_FACTOR = 0.05
SERVICE_SIZES = (5, 10, 50, 461)


@dataclass(slots=True)
class Agent:
    """An agent: its true load and the state from which it estimates the mean."""

    name: str
    load: float
    value: float = 0.0
    weight: float = 1.0
    estimate: float = 0.0
    mean_estimate: MeanEstimate = field(default_factory=MeanEstimate)


@dataclass(slots=True)
class Fleet:
    """All agents of one service, and the random source of the simulation."""

    random: Random
    agents: list[Agent]
    n_created: int = 0


def make_agent(fleet: Fleet) -> Agent:
    """Create an agent that has just joined and knows only its own load."""
    load = fleet.random.uniform(0, 2_000)
    fleet.n_created += 1
    return Agent(f"engine-{fleet.n_created}", load, value=load, estimate=load)


def update_loads(fleet: Fleet) -> None:
    """Change every load at random, and replace a few engines."""
    for index, agent in enumerate(fleet.agents):
        if fleet.random.random() < REPLACED_SHARE_PER_ROUND:
            fleet.agents[index] = make_agent(fleet)
            continue
        mean_reversion = 0.1 * (1_000 - agent.load)
        agent.load = max(0.0, agent.load + mean_reversion + fleet.random.gauss(0, 200))


def iter_exchanges(fleet: Fleet) -> Iterator[tuple[Agent, Agent]]:
    """Yield the pairs of agents that exchange messages in one round."""
    for agent in fleet.agents:
        others = [candidate for candidate in fleet.agents if candidate is not agent]
        for other in choose_partners(others, fleet.random.random, N_PARTNERS):
            yield agent, other


def is_lost(fleet: Fleet) -> bool:
    """Return whether one message is lost, at random."""
    return fleet.random.random() < LOSS_PROBABILITY


def sample(fleet: Fleet, round_number: int) -> None:
    """Exchange loads in pairs, keep the latest of each peer (as agents do)."""
    now_ms = round_number * ROUND_MS
    for first, second in iter_exchanges(fleet):
        if is_lost(fleet):
            continue
        second.mean_estimate.add_sample(
            first.name, first.load, 1.0, round_number, now_ms
        )
        if not is_lost(fleet):
            first.mean_estimate.add_sample(
                second.name, second.load, 1.0, round_number, now_ms
            )
    for agent in fleet.agents:
        agent.estimate = agent.mean_estimate.estimate(agent.load, 1.0, 9, now_ms).share


def average(fleet: Fleet, round_number: int) -> None:
    """Average values in pairs, each moved slightly towards the agent's own load."""
    for first, second in iter_exchanges(fleet):
        if is_lost(fleet):
            continue
        middle = (first.value + second.value) / 2
        second.value = middle
        if not is_lost(fleet):
            first.value = middle
    for agent in fleet.agents:
        agent.value += LEAK_FACTOR * (agent.load - agent.value)
        agent.estimate = agent.value


def push_sum(fleet: Fleet, round_number: int) -> None:
    """Push halves of (value, weight) to peers, restarting at each epoch."""
    if round_number % ROUNDS_PER_EPOCH == 0:
        for agent in fleet.agents:
            agent.estimate = agent.value / max(agent.weight, 1e-9)
            agent.value, agent.weight = agent.load, 1.0
    for first, second in iter_exchanges(fleet):
        value, weight = first.value / 2, first.weight / 2
        first.value, first.weight = value, weight
        if not is_lost(fleet):
            second.value += value
            second.weight += weight


def measure(
    method: Callable[[Fleet, int], None], n_agents: int, seed: int
) -> tuple[float, float]:
    """Return the root mean square and the 95th percentile of relative errors."""
    fleet = Fleet(Random(f"{seed} {n_agents}"), [])
    fleet.agents = [make_agent(fleet) for _ in range(n_agents)]
    errors = []
    for round_number in range(N_ROUNDS):
        update_loads(fleet)
        method(fleet, round_number)
        if round_number >= N_WARMUP_ROUNDS:
            mean = sum(agent.load for agent in fleet.agents) / n_agents
            errors += [abs(agent.estimate - mean) / mean for agent in fleet.agents]
    errors.sort()
    squares = sum(error * error for error in errors) / len(errors)
    return squares**0.5, errors[int(0.95 * len(errors))]


def main() -> None:
    """Print a Markdown table of the errors of each method at each size."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    print("| engines | way | error, rms | error, p95 |\n|---|---|---|---|")
    for n_agents in SERVICE_SIZES:
        for method in (sample, average, push_sum):
            rms, p95 = measure(method, n_agents, seed)
            print(f"| {n_agents} | {method.__name__} | {rms:.3f} | {p95:.3f} |")


if __name__ == "__main__":
    main()
