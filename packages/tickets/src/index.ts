/** Change tickets, and the configuration that results from them. */
export {parseTicket, formatRules} from './ticket';
export type {Ticket} from './ticket';
export {
  acceptTicket,
  CONFIGURATION_PATH,
  configurationSchema,
  deltaSince,
  EMPTY_CONFIGURATION,
  lacksTickets,
  mergeConfigurations,
  parseConfiguration,
} from './configuration';
export type {
  AcceptTicketResult,
  Configuration,
  ServiceEntry,
} from './configuration';
export {ConfigurationHolder} from './configuration_holder';
export type {AdoptResult} from './configuration_holder';
export {TicketSubmission} from './ticket_submission';
export type {
  SubmissionCommand,
  SubmissionEvent,
  TicketAnswer,
} from './ticket_submission';
