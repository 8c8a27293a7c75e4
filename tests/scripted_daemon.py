"""A daemon whose verdicts on instances come from a file, for tests of the floor.

The floor must hold whatever the evidence says, so these tests choose it.
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

flags.DEFINE_string("sick_file", None, "A JSON list of the sick instances' names.")

SICK_WEIGHT = 0.05


class Script:
    """Answer for Health from the file as it is now."""

    def __init__(self, path):
        self._path = Path(path)

    def sick(self):
        return json.loads(self._path.read_text())

    def verdicts(self, service):
        sick = self.sick()
        found = [
            Verdict(one.name, one.name in sick, float(one.name in sick))
            for one in service.instances
        ]
        return sorted(found, key=lambda verdict: -verdict.score)

    def weight(self, service, instance):
        return SICK_WEIGHT if instance in self.sick() else FULL_WEIGHT


def main(argv):
    settings = load_settings(FLAGS.config)
    set_up_logs(settings.logs_level, node=settings.node_name)
    node = Node(settings)
    script = Script(FLAGS.sick_file)
    node.health.verdicts = script.verdicts
    node.health.weight = script.weight
    node.start_work()
    node.run()
    return node.exit_code


if __name__ == "__main__":
    sys.exit(app.run(main))
