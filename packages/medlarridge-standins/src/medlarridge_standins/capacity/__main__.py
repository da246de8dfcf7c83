"""Run the measurements: all, or those named as arguments."""

import sys

from .. import capacity as package
from ..report import import_modules

import_modules(package)
package.capacity.run(sys.argv[1:])
