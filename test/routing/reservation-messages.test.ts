import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import test from 'ava';
import fc from 'fast-check';
import {type PeerMessage} from '../../src/core/placement/peer-messages.js';
import {PeerDatagramSchema} from '../../src/gen/jackdawwood/v1/exchange_pb.js';
import {decodeReservations, encodeReservations, type ServiceMessage} from '../../src/runtime/routing/reservation-messages.js';
import {
	createRequest, createPlacement, modelService, prompt, target,
} from '../placement/_service.js';

const uint32 = fc.integer({min: 0, max: 0xFF_FF_FF_FF});
const id = fc.constantFrom('vm-1-1', 'vm-2-1', 'vm-2-2', '', 'x'.repeat(300));
const targetId = fc.constantFrom('t1', 't2', 'none');

const wish = fc.record({
	id, target: targetId, keys: fc.array(uint32, {maxLength: 4}), copiedTokens: uint32, targetLatencyMs: uint32, waitedMs: uint32, givesWay: fc.boolean(), isLate: fc.boolean(), isResumed: fc.boolean(),
	teamKey: uint32, priority: fc.integer({min: -0x80_00_00_00, max: 0x7F_FF_FF_FF}), mayWait: fc.boolean(),
	prompt: fc.record({
		model: fc.constant(''), parts: fc.array(fc.record({id: fc.constant(''), tokens: uint32}), {maxLength: 4}), tokens: uint32, outputTokens: uint32,
	}),
});
const answer = fc.record({
	target: targetId, isGranted: fc.boolean(), keptTokens: uint32, retryAfterMs: uint32, startAfterMs: uint32, queuedMs: uint32, hasLine: fc.boolean(), running: uint32, readingTokens: uint32, predictedMs: uint32,
});
const message: fc.Arbitrary<PeerMessage> = fc.oneof(
	fc.record({kind: fc.constant('request' as const), wish}),
	fc.record({kind: fc.constant('answer' as const), id, answer}),
	fc.record({
		kind: fc.constant('progress' as const), id, target: targetId, hasEnded: fc.boolean(),
	}),
);

const throughWire = (messages: readonly ServiceMessage[]): readonly ServiceMessage[] =>
	decodeReservations(fromBinary(PeerDatagramSchema, toBinary(PeerDatagramSchema, create(PeerDatagramSchema, {vm: 'vm-2', ...encodeReservations(messages)}))));

test('a wish arrives as it was sent, but for the names of its parts', t => {
	const sent: ServiceMessage = {
		service: 'tariff', message: {
			kind: 'request', wish: {
				id: 'vm-2-1', target: 't1', prompt: prompt('subject', 9000), keys: [1, 2], copiedTokens: 500, targetLatencyMs: 800, waitedMs: 12, givesWay: true, isLate: true, isResumed: false, teamKey: 77, priority: -1, mayWait: true,
			},
		},
	};
	t.snapshot(throughWire([sent]));
});

test('arbitrary reservation messages of another VM do not stop a VM from placing requests', t => {
	const vms = Array.from({length: 30}, (_, index) => `vm-${index}`);
	const check = () => {
		fc.assert(fc.property(fc.array(message, {maxLength: 40}), messages => {
			const placement = createPlacement({vm: 'vm-1', vms, service: {...modelService, coldPerS: 0}});
			for (const name of ['t1', 't2']) {
				placement.handle({kind: 'target', target: target(name)}, 0);
			}

			for (const [index, {message: received}] of throughWire(messages.map(sent => ({service: 'tariff', message: sent}))).entries()) {
				placement.handle({kind: 'peer', from: 'vm-2', message: received}, index);
				placement.handle({kind: 'tick'}, index);
			}

			const effects = [
				...placement.handle({kind: 'ask', request: createRequest('team', 30_000, {prompt: prompt('subject', 9000)})}, 30_000),
				...placement.handle({kind: 'tick'}, 30_160),
			];
			return effects.some(({kind}) => kind === 'grant');
		}), {seed: 7, numRuns: 300});
	};

	t.notThrows(check);
});

test('decoding any bytes either succeeds or throws an Error', t => {
	const check = () => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 200}), bytes => {
			try {
				decodeReservations(fromBinary(PeerDatagramSchema, bytes));
			} catch (error) {
				return error instanceof Error;
			}

			return true;
		}), {seed: 9, numRuns: 500});
	};

	t.notThrows(check);
});
