/** Converts between the control protocol's messages and the plain data of the dispatch. */
import {type MessageInitShape} from '@bufbuild/protobuf';
import {type Allotment, type Exchange, type Report} from '../../core/dispatch/messages.js';
import {
	type PoolAllotment, type PoolAllotmentSchema, type PoolReport, type PoolReportSchema, type ServiceExchange, type ServiceExchangeSchema,
} from '../../gen/jackdawwood/v1/control_pb.js';

export const reportToMessage = (report: Report): MessageInitShape<typeof PoolReportSchema> => ({...report, teams: [...report.teams], targets: [...report.targets]});

export const allotmentToMessage = (allotment: Allotment): MessageInitShape<typeof PoolAllotmentSchema> => ({
	...allotment, slots: [...allotment.slots], approvals: [...allotment.approvals], order: [...allotment.order],
});

export const exchangeToMessage = (exchange: Exchange): MessageInitShape<typeof ServiceExchangeSchema> => ({...exchange, teams: [...exchange.teams]});

export const reportFromMessage = (message: PoolReport): Report => message;
export const allotmentFromMessage = (message: PoolAllotment): Allotment => message;
export const exchangeFromMessage = (message: ServiceExchange): Exchange => message;
