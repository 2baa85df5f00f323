"""What lives for a version: configuration, partition maps and moves."""

from berylspool.version.configuration import *
from berylspool.version.placement import *
