// Messages between routers and agents. A Frame is sent as one length-prefixed
// message on a connection, or as one datagram. Absent fields take no bytes.

struct Header {
  1: required binary name
  2: required binary value
}

// First frame in each direction on a connection.
struct Hello {
  1: optional string sender        // IP:port at which the sender can be reached
  2: optional string role          // router | agent
  3: optional string data_centre
  4: optional string service_name       // agents only
  5: optional string incarnation   // differs after each restart
  6: optional i64 capacity         // agents only: tokens of work or requests
}

// One attempt to run a request. The nonce identifies the attempt fleet-wide.
struct Open {
  1: optional i64 request
  2: optional i32 attempt
  3: optional binary nonce
  4: optional string service_name
  5: optional string team
  6: optional string method
  7: optional string target
  8: optional list<Header> headers
  9: optional binary chat          // 16-byte digest
  10: optional i32 priority        // 0 interactive, 1 quick, 2 batch
  11: optional i64 deadline_ms     // time left when the frame was sent
  12: optional bool idempotent
  13: optional binary key          // digest of team, service and Idempotency-Key
  14: optional binary body_digest
  15: optional i64 work            // estimated tokens, or 1
  16: optional i64 credit          // response bytes that may be sent before more credit
  17: optional binary body
  18: optional bool body_complete
  19: optional i32 hops            // redirects so far
  20: optional bool warm           // sent here because of a pointer
  21: optional i64 window          // claim window in which the attempt began
  22: optional bool alone          // run separately from other requests if possible
  23: optional i32 crashes         // engines that crashed while running it
}

struct Body {
  1: optional i64 request
  2: optional i32 attempt
  3: optional i64 offset
  4: optional binary data
  5: optional bool last
}

// The attempt did not run and will never run.
struct Refused {
  1: optional i64 request
  2: optional i32 attempt
  3: optional string reason
  4: optional string step
  5: optional string redirect      // IP:port of the agent to try instead
  6: optional i64 retry_after_ms
  7: optional bool warm            // the redirect follows a pointer
  8: optional i32 status           // HTTP status for the caller, if the refusal is final
  9: optional string detail
  10: optional binary holder       // nonce of the attempt that holds the claim
}

// The attempt has been handed to the engine, or claimed.
struct Admitted {
  1: optional i64 request
  2: optional i32 attempt
}

struct Head {
  1: optional i64 request
  2: optional i32 attempt
  3: optional i32 status
  4: optional list<Header> headers
  5: optional i64 length           // of the body in bytes, if known
}

struct Data {
  1: optional i64 request
  2: optional i32 attempt
  3: optional i64 offset
  4: optional binary data
  5: optional bool last
}

// The attempt ran or may have run, and its response is incomplete.
struct Failed {
  1: optional i64 request
  2: optional i32 attempt
  3: optional string outcome       // unknown | partial
  4: optional string reason
  5: optional string step
  6: optional string detail
}

struct Credit {
  1: optional i64 request
  2: optional i32 attempt
  3: optional i64 bytes
}

struct Cancel {
  1: optional i64 request
  2: optional i32 attempt
  3: optional string reason
  4: optional binary nonce
}

// The whole response has arrived, so the agent need not keep it any longer.
struct Ack {
  1: optional i64 request
  2: optional i32 attempt
  3: optional binary nonce
}

// Requests, on a new connection, the rest of an attempt's response.
struct Resume {
  1: optional i64 request
  2: optional i32 attempt
  3: optional binary nonce
  4: optional i64 offset
  5: optional i64 credit
}

struct Heartbeat {
  1: optional i64 sequence
  2: optional bool reply
}

// Rules distribution.
struct RulesAsk {
  1: optional i64 have             // revision that the sender has; 0 for none
}

struct RulesEdit {
  1: optional i32 line             // 0-based, in the text of the base revision
  2: optional i32 n_removed
  3: optional list<string> added
}

struct RulesDelta {
  1: optional i64 base
  2: optional i64 revision
  3: optional list<RulesEdit> edits
  4: optional binary digest        // of the resulting text
}

struct RulesCopy {
  1: optional i64 revision
  2: optional string text
}

// Load averaging between agents of one service.
struct Mean {
  1: optional string service_name
  2: optional double load
  3: optional double capacity
  4: optional i64 round
  5: optional bool reply
  6: optional bool full            // a new request would have to wait
}

// Which endpoint holds the contexts of chats; chats is a concatenation of
// 16-byte digests.
struct Pointers {
  1: optional string service_name
  2: optional binary chats
  3: optional string endpoint
  4: optional bool gone            // the endpoint no longer holds them
}

struct PointerAsk {
  1: optional i64 sequence
  2: optional string service_name
  3: optional binary chat
}

struct PointerAnswer {
  1: optional i64 sequence
  2: optional string endpoint
}

// Requests in flight when an engine crashed; digests is a concatenation of
// 16-byte digests.
struct Suspects {
  1: optional string service_name
  2: optional string crash
  3: optional binary digests
}

// Requests the JSON document of the status page; Status carries it.
struct StatusAsk {
  1: optional i64 sequence
}

struct Status {
  1: optional i64 sequence
  2: optional string document
}

struct Frame {
  1: optional i64 revision         // of the rules in force at the sender
  2: optional bool draining
  3: optional Hello hello
  4: optional Open open
  5: optional Body body
  6: optional Refused refused
  7: optional Admitted admitted
  8: optional Head head
  9: optional Data data
  10: optional Failed failed
  11: optional Credit credit
  12: optional Cancel cancel
  13: optional Ack ack
  14: optional Resume resume
  15: optional Heartbeat heartbeat
  16: optional RulesAsk rules_ask
  17: optional RulesDelta rules_delta
  18: optional RulesCopy rules_copy
  19: optional Mean mean
  20: optional Pointers pointers
  21: optional PointerAsk pointer_ask
  22: optional PointerAnswer pointer_answer
  23: optional string sender       // datagrams only
  24: optional Suspects suspects
  30: optional StatusAsk status_ask
  31: optional Status status
  32: optional i32 fleet           // identifies the fleet; on datagrams and first frames
}
