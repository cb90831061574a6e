/** Encodes and decodes the reservation messages in datagrams between VMs. */
import {type MessageInitShape} from '@bufbuild/protobuf';
import {type Reservation, type ReservationAnswer} from '../../core/placement/reservation.js';
import {type PeerMessage} from '../../core/placement/peer-messages.js';
import {type PeerDatagram, type PeerDatagramSchema, type ReservationRequest} from '../../gen/jackdawwood/v1/exchange_pb.js';

/** A message with the service that it concerns. */
export type ServiceMessage = {readonly service: string; readonly message: PeerMessage};

const encodeRequest = (service: string, {id, target, prompt, keys, copiedTokens, targetLatencyMs, waitedMs, ...rest}: Reservation) => ({
	...rest, id, service, target, keys: [...keys],
	partTokens: prompt.parts.slice(0, keys.length).map(({tokens}) => Math.round(tokens)),
	promptTokens: Math.round(prompt.tokens),
	outputTokens: Math.round(prompt.outputTokens),
	copiedTokens: Math.round(copiedTokens),
	latencyTargetMs: Math.round(targetLatencyMs),
	waitedMs: Math.max(0, Math.round(waitedMs)),
});

const decodeRequest = ({id, target, keys, partTokens, promptTokens, outputTokens, copiedTokens, latencyTargetMs, waitedMs, givesWay, isResumed, teamKey, priority, mayWait, isLate}: ReservationRequest): Reservation => ({
	id, target, keys, copiedTokens, targetLatencyMs: latencyTargetMs, waitedMs, givesWay, isResumed, teamKey, priority, mayWait, isLate,
	// The keys are hashes that identify the prompt parts, so the parts' ids are not sent.
	prompt: {
		model: '', parts: partTokens.map(tokens => ({id: '', tokens})), tokens: promptTokens, outputTokens,
	},
});

const encodeReply = (service: string, id: string, answer: ReservationAnswer) => ({
	...answer,
	id,
	service,
	keptTokens: Math.round(answer.keptTokens),
	retryAfterMs: Math.ceil(answer.retryAfterMs),
	startAfterMs: Math.ceil(answer.startAfterMs),
	queuedMs: Math.ceil(answer.queuedMs),
	readingTokens: Math.max(0, Math.round(answer.readingTokens)),
	predictedMs: Math.round(answer.predictedMs),
});

/** Returns the fields of a datagram that carry the messages. */
export const encodeReservations = (messages: readonly ServiceMessage[]): MessageInitShape<typeof PeerDatagramSchema> => ({
	requests: messages.flatMap(({service, message}) => message.kind === 'request' ? [encodeRequest(service, message.wish)] : []),
	answers: messages.flatMap(({service, message}) => message.kind === 'answer' ? [encodeReply(service, message.id, message.answer)] : []),
	progress: messages.flatMap(({service, message: {kind, ...rest}}) => kind === 'progress' ? [{service, ...rest}] : []),
});

export const decodeReservations = ({requests, answers, progress}: PeerDatagram): readonly ServiceMessage[] => [
	...progress.map(({id, service, target, hasEnded, workPercent}): ServiceMessage => ({
		service, message: {
			kind: 'progress', id, target, hasEnded, ...(workPercent > 0 && {workPercent}),
		},
	})),
	...requests.map((request): ServiceMessage => ({service: request.service, message: {kind: 'request', wish: decodeRequest(request)}})),
	...answers.map(({id, service, ...answer}): ServiceMessage => ({service, message: {kind: 'answer', id, answer}})),
];
