"""Counts the cost of flooding one snapshot over the overlay, by simulation.

Prints, for each fleet size, the streams per instance, the hops to the last
instance and the copies received per instance. Instances forward a snapshot
either to all neighbours but the one whose copy they process first, or, with
`suppress`, to none that sent a copy in the same batch period.
"""

import argparse
import statistics

from hibiscuspin.decisions.overlay import Node, edges

DATA_CENTRE_SIZE = 41


def neighbours_by_name(size: int) -> dict[str, set[str]]:
    """Returns the neighbours of each instance in a fleet of `size`."""
    data_centres = max(1, round(size / DATA_CENTRE_SIZE))
    nodes = [Node(f"i-{n}", f"dc-{n % data_centres}") for n in range(size)]
    neighbours: dict[str, set[str]] = {node.name: set() for node in nodes}
    for opener, acceptor in edges(nodes):
        neighbours[opener].add(acceptor)
        neighbours[acceptor].add(opener)
    return neighbours


def flood(
    neighbours: dict[str, set[str]], origin: str, suppress: bool
) -> tuple[int, int]:
    """Floods one snapshot; returns the number of rounds and of copies."""
    known = {origin}
    to_send = {origin: set(neighbours[origin])}
    rounds = copies = 0
    while to_send:
        received: dict[str, set[str]] = {}
        for name, targets in to_send.items():
            for target in targets:
                received.setdefault(target, set()).add(name)
                copies += 1
        newly_reached = {name for name in received if name not in known}
        rounds += bool(newly_reached)
        known |= newly_reached
        to_send = {}
        for name in newly_reached:
            first = sorted(received[name])[:1]
            sources = received[name] if suppress else set(first)
            to_send[name] = neighbours[name] - sources
    return rounds, copies


def main() -> None:
    """Prints a line for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", type=int, nargs="*", default=[6, 41, 660])
    for size in parser.parse_args().sizes:
        neighbours = neighbours_by_name(size)
        degrees = [len(names) for names in neighbours.values()]
        print(
            f"{size} instances: {statistics.mean(degrees):.2f} streams each, "
            f"at most {max(degrees)}"
        )
        for suppress in (False, True):
            runs = [flood(neighbours, o, suppress) for o in neighbours]
            hops = max(rounds for rounds, _ in runs)
            copies = statistics.mean(c for _, c in runs) / size
            print(f"  suppress={suppress}: {hops} hops, {copies:.2f} copies")


if __name__ == "__main__":
    main()
