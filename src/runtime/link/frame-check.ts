/** Checks frames against the rules of the control protocol that its schema can't express. */
import {type Frame, type Hello} from '../../gen/jackdawwood/v1/control_pb.js';

const MAX_ID_LENGTH = 128;

const isId = (id: string): boolean => id.length > 0 && id.length <= MAX_ID_LENGTH;

const isAmount = (value: number): boolean => Number.isFinite(value) && value >= 0;

/** Returns what is wrong with the first frame of a stream, or `undefined` if it is valid. */
export const helloFault = (frame: Frame): string | undefined => {
	const {hello} = frame;
	if (!hello) {
		return 'the first frame has no hello';
	}

	return [hello.vm, hello.dataCentre, hello.incarnation].every(id => isId(id)) ? undefined : 'hello lacks an id';
};

const reportFault = (frame: Frame): string | undefined => {
	for (const {service, member, teams, targets} of frame.reports) {
		if (!isId(service) || !isId(member)) {
			return 'a report lacks an id';
		}

		if (!teams.every(({team, meanCost, charged}) => isId(team) && isAmount(meanCost) && Number.isFinite(charged))
			|| !targets.every(target => isId(target.target) && isAmount(target.answerMsSum))) {
			return 'a report has an amount out of range';
		}
	}

	return undefined;
};

const allotmentFault = (frame: Frame): string | undefined => {
	for (const {service, member, drainPerS, slots, approvals, order} of frame.allotments) {
		if (!isId(service) || !isId(member) || !slots.every(slot => isId(slot.target)) || !approvals.every(({team}) => isId(team))) {
			return 'an allotment lacks an id';
		}

		if (!isAmount(drainPerS) || order.some(index => index >= approvals.length)) {
			return 'an allotment has an amount out of range';
		}
	}

	return undefined;
};

const exchangeFault = (frame: Frame): string | undefined =>
	frame.exchanges.every(({service, dataCentre, teams}) => isId(service) && isId(dataCentre)
		&& teams.every(({team, charged}) => isId(team) && Number.isFinite(charged)))
		? undefined
		: 'an exchange lacks an id or has an amount out of range';

/** Sequence counters of one stream, as they are before the checked frame. */
export type StreamCounters = {
	/** Highest `seq` received. */
	readonly received: bigint;
	/** Highest `seq` sent. */
	readonly sent: bigint;
};

/** Returns what is wrong with a frame, given the counters of its stream, or `undefined` if it is valid. */
export const frameFault = (frame: Frame, {received, sent}: StreamCounters): string | undefined => {
	if (frame.seq !== received + 1n) {
		return `frame ${frame.seq} follows frame ${received}`;
	}

	if (frame.ack > sent) {
		return `frame ${frame.ack} is acknowledged, ${sent} were sent`;
	}

	if (frame.hello && received > 0n) {
		return 'a second hello';
	}

	return reportFault(frame) ?? allotmentFault(frame) ?? exchangeFault(frame);
};

/** Returns the identity stated in a hello that has passed its checks. */
export const identityOf = ({vm, dataCentre, incarnation}: Hello): {readonly vm: string; readonly dataCentre: string; readonly incarnation: string} =>
	({vm, dataCentre, incarnation});
