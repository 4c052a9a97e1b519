Feature: Decoders take what encoders give, and refuse all else with a code

  Scenario: Messages between daemons survive the wire
    Then for any messages a frame decodes to the same messages

  Scenario: No frame makes the mesh decoder fail otherwise than by a decode error
    Then for any bytes a frame is decoded or refused

  Scenario: No body makes the caller decoder fail otherwise than by a request error
    Then for any body a caller's request is decoded or refused

  Scenario: No body makes the backend decoder fail otherwise than by a decode error
    Then for any body a backend answer is decoded or refused
