"""Formats the result of a scenario for the terminal."""

from __future__ import annotations

from typing import Any

LISTED_REACHABILITY = ("one-sided", "through", "by connection")  # prefixes of the degraded values


def format_summary(result: dict[str, Any]) -> str:
    """Formats load, node events, view changes, degraded links and checks as lines of text."""
    plan = result["plan"]
    fleet = f"{plan['nodes']} nodes, {plan['backends']['count']} backends"
    lines = [f"{fleet}, {plan['seconds']:g} s, seed {result['seed']}"]
    outcomes = ", ".join(f"{count} {outcome}" for outcome, count in sorted(result["answers"].items()))
    lines.append(f"utility {result['utility']:.3f}; {outcomes or 'no load'}")
    for at, kind, name in result["happened"]:
        lines.append(f"  {at:7.2f} s  {kind} {name}")
    lines.append("changes of members' states:")
    grouped: dict[tuple[str, str], list[tuple[float, str]]] = {}
    for change in result["changes"]:
        grouped.setdefault((change["of"], change["state"]), []).append((change["at"], change["by"]))
    for (of, state), observations in sorted(grouped.items(), key=lambda entry: min(entry[1])):
        first, last = min(observations)[0], max(observations)[0]
        observers = sorted({by for _, by in observations})
        observers_text = f"{len(observers)} nodes" if len(observers) > 4 else ", ".join(observers)
        lines.append(f"  {first:7.2f} to {last:7.2f} s  {of} {state}, seen by {observers_text}")
    for by, view in sorted(result["views"].items()):
        for of, history in sorted(view.items()):
            listed = dict.fromkeys(way for _, _, way in history if way.startswith(LISTED_REACHABILITY))
            lines += [f"  {by} reaches {of}: {reachability}" for reachability in listed]
    lines.append("checks:")
    for check in result["checks"]:
        verdict = "passed" if check["holds"] else "FAILED"
        lines.append(f"  {check['name']}: {check['figure']} (limit {check['limit']}): {verdict}")
    return "\n".join(lines)
