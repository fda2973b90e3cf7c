"""Chart of attainment and weight loads over time."""

from __future__ import annotations

from concurrent import futures

from bench import attainment
from bench import score


def draw(path: str, deployment: str, trace: str, seed: int) -> None:
    """Run each policy once and write a chart to a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    keys = [
        (deployment, trace, policy, seed) for policy in attainment.POLICIES
    ]
    with futures.ProcessPoolExecutor(len(keys)) as pool:
        results = list(pool.map(attainment.run_one, keys))
    figure, (upper, lower) = pyplot.subplots(
        2, 1, figsize=(9, 6), sharex=True, layout="constrained"
    )
    for result in results:
        times_s = [
            (index + 0.5) * score.BUCKET_MS / 1_000
            for index in range(len(result.requests_by_bucket))
        ]
        shares = [
            got / max(1, wanted)
            for got, wanted in zip(
                result.attained_by_bucket,
                result.requests_by_bucket,
                strict=True,
            )
        ]
        upper.plot(times_s, shares, label=result.policy)
        moves_s = [at_ms / 1_000 for at_ms in result.move_times_ms]
        lower.step(
            [0.0, *moves_s, 240.0],
            [*range(len(moves_s) + 1), len(moves_s)],
            where="post",
            label=result.policy,
        )
    upper.set_title(f"{deployment}, {trace}, seed {seed}")
    upper.set_ylabel("attained share by time of arrival")
    upper.set_ylim(0, 1.03)
    upper.legend(loc="lower left")
    lower.set_ylabel("moves since the start")
    lower.set_yscale("symlog")
    lower.set_ylim(bottom=-0.5)
    lower.set_xlabel("seconds")
    figure.savefig(path, dpi=110, metadata={"Software": None})
