"""The sequential test of whether an instance does worse than its peers.

It is a window-limited generalised likelihood ratio test.  For each window it tests
whether an instance's share of failed or slow attempts is materially above the
share of its peers in the same window, so that effects on the whole service cancel
out.
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

MIN_THRESHOLD_NATS = 11.0
THRESHOLD_RANGE_NATS = 7.0
MAX_OUTLIER_SHARE = 0.25
OUTLIER_DEVIATIONS = 3.0
TRIMMED_RESIDUAL_SHARE = 0.5
PEER_MARGIN_DEVIATIONS = 0.7


class Share(NamedTuple):
    """How many attempts showed a signal, out of how many."""

    hits: float
    total: float


class Allowance(NamedTuple):
    """How much worse than its peers a healthy instance may do.

    Attributes:
        odds_factor: factor by which its odds of a hit may be higher.
        extra_share: what is added to the share after that.
        prior_share: the share assumed for peers without attempts.
        prior_total: weight of that assumption, as a number of attempts.
    """

    odds_factor: float
    extra_share: float
    prior_share: float
    prior_total: float


def score_threshold(caution: float) -> float:
    """Return the score in nats from which an instance counts as unhealthy."""
    return MIN_THRESHOLD_NATS + THRESHOLD_RANGE_NATS * caution


def peer_shares(shares: list[Share]) -> list[Share]:
    """Return for each instance the total share of its peers, without outliers.

    Up to a quarter of the instances are left out, so that a second unhealthy
    instance does not hide the first one.
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
    """Return the indexes of the outliers, which are excluded from every peer group.

    Only instances with counts well above the others' are excluded: always dropping
    the worst quarter would make rare failures of healthy instances look unusual.
    """
    max_outliers = int(MAX_OUTLIER_SHARE * (len(shares) - 1))
    order = sorted(range(len(shares)), key=lambda one: -_rate(shares[one]))
    rest = order[max_outliers:]
    total = sum(shares[one].total for one in rest)
    if not total:
        return set()
    mean = sum(shares[one].hits for one in rest) / total
    outliers = set()
    for one in order[:max_outliers]:
        expected = mean * shares[one].total
        limit = expected + OUTLIER_DEVIATIONS * math.sqrt(expected) + 1
        if shares[one].hits > limit:
            outliers.add(one)
    return outliers


def _rate(share: Share) -> float:
    return share.hits / share.total if share.total else 0.0


def allowed_share(peers: Share, allowance: Allowance) -> float:
    """Return the largest share of hits at which an instance counts as healthy.

    The peers' share is raised above the observed one, by more when it is based on
    few of their attempts.
    """
    total = max(0.0, peers.total) + allowance.prior_total
    hits = max(0.0, peers.hits)
    hits += (
        PEER_MARGIN_DEVIATIONS * math.sqrt(hits)
        + allowance.prior_share * allowance.prior_total
    )
    share = min(hits / total, 0.999)
    odds = allowance.odds_factor * share / (1 - share)
    return min(0.999, odds / (1 + odds) + allowance.extra_share)


def likelihood_ratio(own: Share, peers: Share, allowed: float) -> float:
    """Return the log-likelihood ratio against `own` being at or below a share.

    The peers' share is itself an estimate: the ratio is reduced by the part of the
    variance of the difference that comes from the peers.

    Args:
        own: the tested instance's share.
        peers: the share of its peers.
        allowed: the largest share that a healthy instance may have.
    """
    if own.total <= 0 or own.hits <= allowed * own.total:
        return 0.0
    observed = min(1.0, own.hits / own.total)
    ratio = own.hits * math.log(observed / allowed)
    if observed < 1.0:
        missed = own.total - own.hits
        ratio += missed * math.log((1 - observed) / (1 - allowed))
    peer_total = max(peers.total, own.total)
    return ratio * peer_total / (peer_total + own.total)


def dispersion(shares: list[Share]) -> float | None:
    """Return the overdispersion of the instances' shares.

    It is 1 for independent attempts and above 1 where attempts are correlated:
    queueing makes slow responses come in runs.  Nearly half of the residuals, the
    largest ones, are left out, so that unhealthy instances do not raise the value
    and hide themselves.  The mean of the others is divided by its value for
    independent attempts.

    Returns:
        The dispersion, or None if there are too few attempts to estimate it.
    """
    observed = [share for share in shares if share.total > 0]
    if len(observed) < 2:
        return None
    median_rate = statistics.median(_rate(share) for share in observed)
    variance = median_rate * (1 - median_rate)
    if variance <= 0:
        return None
    residuals = sorted(
        (share.hits - median_rate * share.total) ** 2 / (variance * share.total)
        for share in observed
    )
    kept = len(observed) - int(TRIMMED_RESIDUAL_SHARE * (len(observed) - 1))
    return statistics.fmean(residuals[:kept]) / _trimmed_mean(kept / len(observed))


@functools.cache
def _trimmed_mean(kept: float) -> float:
    """Return the mean of the smallest squared standard normals.

    Args:
        kept: the fraction of the values that is averaged, from 0 to 1.
    """
    if kept >= 1:
        return 1.0
    normal = statistics.NormalDist()
    limit = normal.inv_cdf((1 + kept) / 2)
    return (kept - 2 * limit * normal.pdf(limit)) / kept
