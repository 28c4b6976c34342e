"""An engine in a process of its own: streams events in answers without a length."""

import asyncio
import sys

from standins3 import answer, listen, read_call

# Arguments: IP PORT ID N_EVENTS EVENT_MS EVENT_BYTES


async def main() -> None:
    """Serve until the process is killed."""
    ip, port, name, n_events, event_ms, event_bytes = sys.argv[1:]
    n_events, event_ms, event_bytes = int(n_events), int(event_ms), int(event_bytes)

    async def serve(reader, writer):
        while (call := await read_call(reader)) is not None:
            attempt = call.headers.get("attempt-id", "")
            if call.headers.get("expect-instance", name) != name:
                headers = [("Attempt-Id", attempt), ("Instance-Id", name)]
                writer.write(answer(421, headers))
                continue
            print(f"run {attempt} at {name}", flush=True)
            lines = [
                "HTTP/1.1 200 OK",
                f"Attempt-Id: {attempt}",
                f"Server-Stamp: 3e1b.07.5a2.600.0.{name}",
                "Content-Type: text/event-stream",
                "Connection: close",
            ]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            start = int(call.headers.get("last-event-id", 0))
            for number in range(start + 1, start + n_events + 1):
                await asyncio.sleep(event_ms / 1e3)
                data = "x" * (event_bytes - 20)
                end = " last" if number == n_events else ""
                writer.write(f"id: {number}\ndata: {data}{end}\n\n".encode())
                await writer.drain()
            print(f"end {attempt} at {name}", flush=True)
            return

    server = await listen(ip, int(port), serve)
    await server.serve_forever()


asyncio.run(main())
