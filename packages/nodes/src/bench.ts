/**
 * Measures the throughput and CPU time of the protocol between nodes within one
 * process, and the effect of batching.
 */
import type { PeerMessage, VmId } from "@camphorlock/types";
import { encodeMessage } from "./message_codec.ts";
import { PeerNetwork } from "./peer_network.ts";
import type { PeerSecurity } from "./tls.ts";

/** The parameters of a measurement. */
export interface NodesBenchOptions {
  readonly security: PeerSecurity;
  /** Messages sent in one turn of the event loop. */
  readonly burst: number;
  /** Total number of messages. */
  readonly messages: number;
  /** Characters of text per message. */
  readonly textLength: number;
  /** Returns the CPU time of the process in milliseconds. */
  readonly readCpuMs: () => number;
}

/** The results. Sender and receiver run in the same process. */
export interface NodesBenchResult {
  readonly burst: number;
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
  /** CPU time of sender and receiver per message. */
  readonly cpuMicrosPerMessage: number;
  readonly dropped: number;
}

const MS_PER_SECOND = 1_000;
const MICROS_PER_MS = 1_000;

/** Measures messages from one network to another in the same process. */
export async function runNodesBench(
  options: NodesBenchOptions,
): Promise<NodesBenchResult> {
  let received = 0;
  let onReceived = (): void => {};
  const receiver = createNetwork("vm-b", {
    security: options.security,
    onMessage: () => {
      received += 1;
      onReceived();
    },
  });
  const sender = createNetwork("vm-a", {
    security: options.security,
    onMessage: () => {},
  });
  const address = (await receiver.start())._unsafeUnwrap();
  (await sender.start())._unsafeUnwrap();
  const waitForReceived = (count: number): Promise<void> =>
    new Promise((resolve) => {
      onReceived = (): void => {
        if (received >= count) resolve();
      };
      onReceived();
    });
  sender.send("vm-b", address, buildMessage(0, options.textLength));
  await waitForReceived(1);
  const startedAtMs = performance.now();
  const cpuBeforeMs = options.readCpuMs();
  for (let sent = 1; sent <= options.messages; sent += options.burst) {
    const until = Math.min(sent + options.burst - 1, options.messages);
    for (let number = sent; number <= until; number += 1) {
      const message = buildMessage(number, options.textLength);
      sender.send("vm-b", address, message);
    }
    await waitForReceived(until + 1);
  }
  const elapsedMs = performance.now() - startedAtMs;
  const cpuMs = options.readCpuMs() - cpuBeforeMs;
  const dropped = sender.counts.droppedMessages;
  await sender.stop();
  await receiver.stop();
  const size = encodeMessage(buildMessage(1, options.textLength)).length;
  const messagesPerSecond = options.messages * MS_PER_SECOND / elapsedMs;
  return {
    burst: options.burst,
    messagesPerSecond,
    bytesPerSecond: messagesPerSecond * size,
    cpuMicrosPerMessage: cpuMs * MICROS_PER_MS / options.messages,
    dropped,
  };
}

function createNetwork(
  vmId: VmId,
  options: {
    security: PeerSecurity;
    onMessage: (from: VmId, message: PeerMessage) => void;
  },
): PeerNetwork {
  return new PeerNetwork({
    self: { vmId, incarnation: 1 },
    listenAddress: "127.0.0.1:0",
    ...options,
  });
}

function buildMessage(number: number, textLength: number): PeerMessage {
  return {
    kind: "owner_answer",
    requestId: `request-${number}`,
    answer: {
      kind: "text",
      callId: "call-1",
      offset: number * textLength,
      text: "x".repeat(textLength),
    },
  };
}
