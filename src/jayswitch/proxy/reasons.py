"""Why an attempt was not run, as logs and other proxies see it."""

NO_UPSTREAM = "no upstream has announced itself here"
LEAVING = "the upstream is leaving"
OTHER_UPSTREAM = "another upstream is here now"
EVACUATED = "the data centre is out of service"
WITHDRAWN = "the version has been withdrawn"
FULL = "the upstream is at its limit"
COLD = "the upstream is cold and has its share"
TOO_LATE = "too little time is left"
SUSPECT = "the upstream does not answer its health check"
NOT_REACHED = "the upstream refused the connection"
REJECTED = "the upstream rejected the request"
MISDIRECTED = "the address belongs to another upstream now"
PROXY_UNREACHED = "the proxy beside the upstream could not be reached"
NO_CANDIDATE = "no upstream of the service takes work"
STARTING = "this proxy has no configuration yet"
STOPPING = "this proxy is about to stop"
BUDGET = "the retry budget is spent"

# Reasons that say something about load and not about the sender's knowledge.
LOAD_REASONS = frozenset((FULL, COLD, TOO_LATE))
