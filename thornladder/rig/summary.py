"""What happened in a play, for a person."""

from __future__ import annotations

from typing import Any

PLAIN = ("one-sided", "through", "by connection")  # ways that are worth a line


def format_summary(told: dict[str, Any]) -> str:
    plan = told["plan"]
    fleet = f"{plan['nodes']} nodes, {plan['backends']['count']} backends"
    lines = [f"{fleet}, {plan['seconds']:g} s, seed {told['seed']}"]
    answers = ", ".join(f"{count} {word}" for word, count in sorted(told["answers"].items()))
    lines.append(f"utility {told['utility']:.3f}; {answers or 'no load'}")
    for at, what, name in told["happened"]:
        lines.append(f"  {at:7.2f} s  {what} {name}")
    lines.append("who thought what of whom, when:")
    grouped: dict[tuple[str, str], list[tuple[float, str]]] = {}
    for each in told["changes"]:
        grouped.setdefault((each["of"], each["state"]), []).append((each["at"], each["by"]))
    for (of, state), said in sorted(grouped.items(), key=lambda each: min(each[1])):
        first, last = min(said)[0], max(said)[0]
        names = sorted({by for _, by in said})
        who = f"{len(names)} nodes" if len(names) > 4 else ", ".join(names)
        lines.append(f"  {first:7.2f} to {last:7.2f} s  {of} {state}, so {who}")
    for by, seen in sorted(told["views"].items()):
        for of, course in sorted(seen.items()):
            ways = dict.fromkeys(way for _, _, way in course if way.startswith(PLAIN))
            lines += [f"  {by} of {of}: {way}" for way in ways]
    lines.append("what must hold:")
    for each in told["checks"]:
        mark = "holds" if each["holds"] else "DOES NOT HOLD"
        lines.append(f"  {each['name']}: {each['figure']} (limit {each['limit']}): {mark}")
    return "\n".join(lines)
