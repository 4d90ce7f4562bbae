/**
 * The two ends of a gRPC stream behind one interface.
 */
import {
  type ClientDuplexStream,
  type ServerDuplexStream,
  status,
} from "@grpc/grpc-js";
import type { Failure } from "@camphorlock/codes";
import type { Frame } from "./generated/peers.ts";

/** What happens on a stream. */
export interface StreamCallHandlers {
  readonly onFrame: (frame: Frame) => void;
  readonly onWritable: () => void;
  /** The stream ended or broke; called once. */
  readonly onEnd: (detail: string) => void;
}

/** A gRPC stream of frames, whichever end it is. */
export interface StreamCall {
  /** Writes a frame; false asks to wait for `onWritable`. */
  write(frame: Frame): boolean;
  /** Ends the stream without waiting for the other side. */
  close(failure?: Failure): void;
  /** Subscribes to what happens; called once. */
  subscribe(handlers: StreamCallHandlers): void;
}

/** Wraps the dialed end. */
export function createClientCall(
  call: ClientDuplexStream<Frame, Frame>,
): StreamCall {
  return {
    write: (frame) => call.write(frame),
    close: () => call.cancel(),
    subscribe: (handlers) => subscribeTo(call, handlers),
  };
}

/** Wraps the accepted end. */
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
      subscribeTo(call, handlers);
      call.on("cancelled", () => handlers.onEnd("cancelled"));
    },
  };
}

function subscribeTo(
  call: ClientDuplexStream<Frame, Frame> | ServerDuplexStream<Frame, Frame>,
  handlers: StreamCallHandlers,
): void {
  call.on("data", handlers.onFrame);
  call.on("drain", handlers.onWritable);
  call.on("end", () => handlers.onEnd("ended"));
  call.on("error", (error: Error) => handlers.onEnd(error.message));
}
