"""Run the measurement scenarios named as arguments, or all of them."""

import sys

from medlarridge._internal.log import configure_logging

from .. import measure as package
from ..report import import_modules

configure_logging("ERROR")
import_modules(package)
package.measure.run(sys.argv[1:])
