namespace py peer

/** A host as its peers describe it. */
struct HostNews {
  1: string name
  2: i64 incarnation
  3: string state
  4: binary body
}

/** One object of the platform; no value means that it was removed. */
struct ObjectChange {
  1: string kind
  2: string name
  3: i64 revision
  4: optional binary value
}

/** What a host knows: its settings revision, how fresh it is, news of hosts, and what the store lost. */
struct Digest {
  1: string sender
  2: i64 revision
  3: double platform_age
  4: list<HostNews> news
  5: bool fresh
  6: optional list<ObjectChange> forgotten
}

/** Changes after a revision; whole means that it replaces all that is known. */
struct Changes {
  1: i64 revision
  2: list<ObjectChange> changes
  3: bool whole
}

/** A caller's statement on its way to the group owner. */
struct Work {
  1: string request_id
  2: binary body
}

/** The answer to a work call: a JSON body, or the kind and detail of a failure. */
struct WorkResult {
  1: string request_id
  2: optional binary body
  3: optional string kind
  4: optional string detail
}

/** A request for rate tokens; held counts those the host still has. */
struct TokenAsk {
  1: string team
  2: string host
  3: i64 number
  4: double held
  5: double wanted
}

/** Granted tokens, or the kind of refusal; wait tells when to ask again, in seconds. */
struct TokenGrant {
  1: i64 number
  2: double tokens
  3: double wait
  4: optional string kind
}

service Peer {
  Digest exchange(1: Digest digest)
  Changes pull(1: i64 after)
  bool probe(1: string host)
  WorkResult work(1: Work work)
  TokenGrant tokens(1: TokenAsk ask)
  string explain(1: string subject)
  string describe()
}
