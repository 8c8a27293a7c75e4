"""The sequential test: how surely an instance does worse than its peers.

The test is a window-limited generalised likelihood ratio.  Every window asks
whether an instance's share of failed or slow attempts is materially above the
share that its peers have in the same window, so that whatever happens to the
whole service cancels out.
"""

import functools
import math
import statistics
from typing import NamedTuple

__all__ = [
    "Allowance",
    "Share",
    "allowed_share",
    "dispersion",
    "likelihood_ratio",
    "peer_shares",
    "score_threshold",
]

LOWEST_THRESHOLD = 11.0
THRESHOLD_SPAN = 7.0
TRIMMED_PEERS = 0.25
OUTLIER_DEVIATIONS = 3.0
TRIMMED_RESIDUALS = 0.5
PEER_DOUBT = 0.7


class Share(NamedTuple):
    """How many of an instance's attempts showed a signal."""

    hits: float
    total: float


class Allowance(NamedTuple):
    """How much worse than its peers an instance may do and count as well.

    Attributes:
        factor: by which its odds may be higher.
        extra: what its share may be higher besides.
        prior_share: the share assumed of peers that were not seen.
        prior_total: how many attempts that assumption is worth.
    """

    factor: float
    extra: float
    prior_share: float
    prior_total: float


def score_threshold(caution: float) -> float:
    """Return the score in nats at which an instance counts as sick."""
    return LOWEST_THRESHOLD + THRESHOLD_SPAN * caution


def peer_shares(shares: list[Share]) -> list[Share]:
    """Return for each instance what its peers showed, outliers left out.

    Leaving out up to a quarter of the instances keeps a second sick instance
    from hiding the first one.
    """
    outliers = _outliers(shares)
    hits = sum(share.hits for share in shares)
    total = sum(share.total for share in shares)
    out_hits = sum(shares[one].hits for one in outliers)
    out_total = sum(shares[one].total for one in outliers)
    peers = []
    for index, own in enumerate(shares):
        if index in outliers:
            peers.append(Share(hits - out_hits, total - out_total))
            continue
        peers.append(Share(hits - out_hits - own.hits, total - out_total - own.total))
    return peers


def _outliers(shares: list[Share]) -> set[int]:
    """Return the instances that stand out so much that no peer is judged by them.

    Only counts well above those of the others are left out: dropping the worst
    quarter always would make rare failures of well instances look unusual.
    """
    most = int(TRIMMED_PEERS * (len(shares) - 1))
    order = sorted(range(len(shares)), key=lambda one: -_rate(shares[one]))
    rest = order[most:]
    total = sum(shares[one].total for one in rest)
    if not total:
        return set()
    mean = sum(shares[one].hits for one in rest) / total
    outliers = set()
    for one in order[:most]:
        expected = mean * shares[one].total
        limit = expected + OUTLIER_DEVIATIONS * math.sqrt(expected) + 1
        if shares[one].hits > limit:
            outliers.add(one)
    return outliers


def _rate(share: Share) -> float:
    return share.hits / share.total if share.total else 0.0


def allowed_share(peers: Share, allowance: Allowance) -> float:
    """Return the largest share at which an instance still counts as well.

    The peers' share is taken somewhat above what was seen, more so when it
    rests on few of their attempts.
    """
    total = max(0.0, peers.total) + allowance.prior_total
    hits = max(0.0, peers.hits)
    hits += PEER_DOUBT * math.sqrt(hits) + allowance.prior_share * allowance.prior_total
    share = min(hits / total, 0.999)
    odds = allowance.factor * share / (1 - share)
    return min(0.999, odds / (1 + odds) + allowance.extra)


def likelihood_ratio(own: Share, peers: Share, allowed: float) -> float:
    """Return the log-likelihood ratio against `own` being at or below a share.

    The peers' share is itself an estimate: the ratio shrinks by the part of the
    difference's variance that comes from the peers.
    """
    if own.total <= 0 or own.hits <= allowed * own.total:
        return 0.0
    seen = min(1.0, own.hits / own.total)
    ratio = own.hits * math.log(seen / allowed)
    if seen < 1.0:
        missed = own.total - own.hits
        ratio += missed * math.log((1 - seen) / (1 - allowed))
    peer_total = max(peers.total, own.total)
    return ratio * peer_total / (peer_total + own.total)


def dispersion(shares: list[Share]) -> float | None:
    """Return how much more instances differ than independent attempts would.

    Queueing makes slow answers come in runs.  One is the value for independent
    attempts; None means too little was seen.  Nearly half of the residuals, the
    largest ones, are left out, so that sick instances do not excuse themselves,
    and the rest is divided by what it would be for independent attempts.
    """
    seen = [share for share in shares if share.total > 0]
    if len(seen) < 2:
        return None
    middle = statistics.median(_rate(share) for share in seen)
    variance = middle * (1 - middle)
    if variance <= 0:
        return None
    residuals = sorted(
        (share.hits - middle * share.total) ** 2 / (variance * share.total)
        for share in seen
    )
    kept = len(seen) - int(TRIMMED_RESIDUALS * (len(seen) - 1))
    return statistics.fmean(residuals[:kept]) / _trimmed_mean(kept / len(seen))


@functools.cache
def _trimmed_mean(kept: float) -> float:
    """Return the mean of the smallest part of squared standard normals."""
    if kept >= 1:
        return 1.0
    normal = statistics.NormalDist()
    limit = normal.inv_cdf((1 + kept) / 2)
    return (kept - 2 * limit * normal.pdf(limit)) / kept
