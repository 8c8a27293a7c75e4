"""A daemon whose verdicts on instances come from a file, for tests of the floor.

The floor must hold for any verdicts, so these tests set them directly.
"""

import json
import sys
from pathlib import Path

from absl import app, flags

from dogwoodtack.daemon import FLAGS
from dogwoodtack.health import FULL_WEIGHT, Verdict
from dogwoodtack.logs import set_up_logs
from dogwoodtack.node import Node
from dogwoodtack.settings import load_settings

flags.DEFINE_string(
    "sick_file", None, "JSON file with a list of the names of unhealthy instances."
)

UNHEALTHY_WEIGHT = 0.05


class ScriptedHealth:
    """Replace verdicts and weights of Health; read the file at every call."""

    def __init__(self, path):
        self._path = Path(path)

    def unhealthy_names(self):
        return json.loads(self._path.read_text())

    def verdicts(self, service):
        unhealthy = self.unhealthy_names()
        verdicts = [
            Verdict(one.name, one.name in unhealthy, float(one.name in unhealthy))
            for one in service.instances
        ]
        return sorted(verdicts, key=lambda verdict: -verdict.score)

    def weight(self, service, instance):
        return UNHEALTHY_WEIGHT if instance in self.unhealthy_names() else FULL_WEIGHT


def main(argv):
    settings = load_settings(FLAGS.config)
    set_up_logs(settings.logs_level, node=settings.node_name)
    node = Node(settings)
    health = ScriptedHealth(FLAGS.sick_file)
    node.health.verdicts = health.verdicts
    node.health.weight = health.weight
    node.start_components()
    node.run()
    return node.exit_code


if __name__ == "__main__":
    sys.exit(app.run(main))
