"""Plots of measured figures."""

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

CHARTS = (
    ("worst-served team", "goodput_share", "share of the worst-served team's requests in time"),
    ("reads with own writes", "replica_share", "share of reads served by replicas"),
    ("failover gap", "median_s", "median failover gap, seconds"),
    ("80% offered", "wrongly_refused", "share refused inside the team's rate"),
    ("300% offered", "over_limit", "requests over rate and burst in the worst window"),
)


def draw(rows: list[dict[str, Any]], folder: Path) -> None:
    """Draw one bar chart for each kind of figure that the rows hold."""
    for marker, figure, title in CHARTS:
        chosen = [r for r in rows if marker in r["what"] and figure in r]
        if chosen:
            _bars(chosen, figure, title, folder / f"{figure}.png")


def _bars(rows: list[dict[str, Any]], figure: str, title: str, path: Path) -> None:
    names = [r["what"] for r in rows]
    values = [r[figure] for r in rows]
    chart, axes = pyplot.subplots(figsize=(9, 0.5 * len(rows) + 1.5))
    axes.barh(names, values)
    axes.invert_yaxis()
    axes.set_title(title)
    for index, value in enumerate(values):
        axes.text(value, index, f" {value:g}", va="center")
    chart.tight_layout()
    chart.savefig(path)
    pyplot.close(chart)
