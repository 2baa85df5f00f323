"""State with the life span of a request: query, parts and answer."""

from berylspool.request.fanout import *
from berylspool.request.fingerprint import *
from berylspool.request.query import *
