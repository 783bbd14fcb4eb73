/** INI text checked against a schema, with every fault named. */
export {validateSection, parseSections} from './ini_document';
export type {SectionResult, Sections} from './ini_document';
export {formatIssues} from './validation_issue';
export type {ValidationIssue} from './validation_issue';
export * as fields from './fields';
