Feature: A stream whose endpoint is silent for a while

  The endpoint of a stream pauses and goes on before the deadline. The only other endpoint
  is full, so that the stream can't be resumed there.

  # Guards against an answer that is cut although its endpoint was still at work.
  Scenario: A silent stream is not cut when the other endpoint refuses to resume it
    When the endpoint of a stream is silent while the other one is full
    Then the caller gets every event

  # Guards against an answer that is cut because another request could not connect.
  Scenario: A stream is not cut when a connection to its endpoint fails
    When a connection to the endpoint of a silent stream fails while the other is full
    Then the caller gets every event
