/**
 * A common interface for the client and server end of a gRPC stream.
 */
import {
  type ClientDuplexStream,
  type ServerDuplexStream,
  status,
} from "@grpc/grpc-js";
import type { Failure } from "@camphorlock/codes";
import type { Frame } from "./generated/peers.ts";

/** The callbacks of a gRPC stream. */
export interface StreamCallHandlers {
  readonly onFrame: (frame: Frame) => void;
  readonly onWritable: () => void;
  /** The stream ended or broke; called once. */
  readonly onEnd: (detail: string) => void;
}

/** The client or server end of a gRPC stream of frames. */
export interface StreamCall {
  /** Writes a frame; after false, the caller must wait for `onWritable`. */
  write(frame: Frame): boolean;
  /** Ends the stream without waiting for the other side. */
  close(failure?: Failure): void;
  /** Registers the callbacks; called once. */
  subscribe(handlers: StreamCallHandlers): void;
}

/** Wraps the client end, which this node dialed. */
export function createClientCall(
  call: ClientDuplexStream<Frame, Frame>,
): StreamCall {
  return {
    write: (frame) => call.write(frame),
    close: () => call.cancel(),
    subscribe: (handlers) => registerHandlers(call, handlers),
  };
}

/** Wraps the server end, which this node accepted. */
export function createServerCall(
  call: ServerDuplexStream<Frame, Frame>,
): StreamCall {
  return {
    write: (frame) => call.write(frame),
    close: (failure) => {
      if (failure === undefined) {
        call.end();
        return;
      }
      const { code, name, detail } = failure;
      const details = `${code} ${name}: ${detail}`;
      call.emit("error", { code: status.FAILED_PRECONDITION, details });
    },
    subscribe: (handlers) => {
      registerHandlers(call, handlers);
      call.on("cancelled", () => handlers.onEnd("cancelled"));
    },
  };
}

function registerHandlers(
  call: ClientDuplexStream<Frame, Frame> | ServerDuplexStream<Frame, Frame>,
  handlers: StreamCallHandlers,
): void {
  call.on("data", handlers.onFrame);
  call.on("drain", handlers.onWritable);
  call.on("end", () => handlers.onEnd("ended"));
  call.on("error", (error: Error) => handlers.onEnd(error.message));
}
