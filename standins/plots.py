"""Draw bar charts of measured figures."""

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

# Part of the row name, figure and title of each chart.
CHARTS = (
    (
        "worst-served team",
        "goodput_share",
        "share of the worst-served team's requests that waited less than 1 s",
    ),
    ("reads with own writes", "replica_share", "share of reads served by replicas"),
    ("failover gap", "median_s", "median time without successful writes in a failover, seconds"),
    ("80% offered", "wrongly_refused", "share of requests refused below the team's rate"),
    ("300% offered", "over_limit", "requests above rate and burst in the worst time window"),
)


def draw(rows: list[dict[str, Any]], folder: Path) -> None:
    """Draw a bar chart for each entry of CHARTS that has rows, as FIGURE.png in a folder."""
    for row_name_part, figure, title in CHARTS:
        chart_rows = [r for r in rows if row_name_part in r["what"] and figure in r]
        if chart_rows:
            _draw_bars(chart_rows, figure, title, folder / f"{figure}.png")


def _draw_bars(rows: list[dict[str, Any]], figure: str, title: str, path: Path) -> None:
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
