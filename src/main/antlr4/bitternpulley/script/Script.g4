// The operators' script: the expressions and statements of the Starlark language specification,
// without load, lambda and while.
// IndentationLexer drops the NEWLINE tokens of blank lines and of lines inside brackets, and adds
// the INDENT and DEDENT tokens of blocks.
grammar Script;

tokens { INDENT, DEDENT }

file: (NEWLINE | statement)* EOF;

statement: simpleStatement | functionDefinition | ifStatement | forStatement;

simpleStatement: smallStatement (';' smallStatement)* ';'? NEWLINE;

smallStatement
  : 'return' expressionList?                                   # returnStatement
  | 'break'                                                    # breakStatement
  | 'continue'                                                 # continueStatement
  | 'pass'                                                     # passStatement
  | target=expressionList
    op=('=' | '+=' | '-=' | '*=' | '/=' | '//=' | '%=') value=expressionList  # assignment
  | expressionList                                             # expressionStatement
  ;

functionDefinition: 'def' NAME '(' (parameter (',' parameter)* ','?)? ')' ':' suite;
parameter: NAME ('=' expression)?;

ifStatement
  : 'if' expression ':' suite ('elif' expression ':' suite)* ('else' ':' suite)?;
forStatement: 'for' loopVariables 'in' expressionList ':' suite;
suite: simpleStatement | NEWLINE INDENT statement+ DEDENT;

expressionList: expression (',' expression)* ','?;
loopVariables: loopVariable (',' loopVariable)* ','?;
loopVariable: NAME | '(' loopVariables ')' | '[' loopVariables ']';

expression
  : expression '.' NAME                                        # attribute
  | expression '(' (argument (',' argument)* ','?)? ')'        # call
  | expression '[' (lowerBound=expression)? ':' (upperBound=expression)? ']'  # slice
  | expression '[' expression ']'                              # subscript
  | op=('-' | '+') expression                                  # unarySign
  | expression op=('*' | '/' | '//' | '%') expression          # multiplicative
  | expression op=('+' | '-') expression                       # additive
  | expression op='|' expression                               # union
  | expression
    (op=('<' | '>' | '<=' | '>=' | '==' | '!=' | 'in') | not='not' 'in') expression  # comparison
  | 'not' expression                                           # logicalNot
  | expression 'and' expression                                # logicalAnd
  | expression 'or' expression                                 # logicalOr
  | <assoc=right> expression 'if' expression 'else' expression # conditionalExpression
  | atom                                                       # atomExpression
  ;

argument: (NAME '=')? expression;

atom
  : NAME                                                       # identifier
  | INTEGER                                                    # integerLiteral
  | REAL                                                       # floatLiteral
  | STRING+                                                    # stringLiteral
  | '(' ')'                                                    # emptyTuple
  | '(' expression ')'                                         # parenthesized
  | '(' expression (',' expression)* ','? ')'                  # tuple
  | '[' (expression (',' expression)* ','?)? ']'               # list
  | '[' expression comprehensionClause+ ']'                    # listComprehension
  | '{' (entry (',' entry)* ','?)? '}'                         # dict
  | '{' entry comprehensionClause+ '}'                         # dictComprehension
  ;

entry: key=expression ':' value=expression;
comprehensionClause: 'for' loopVariables 'in' expression | 'if' expression;

NAME: [A-Za-z_] [A-Za-z_0-9]*;
INTEGER: '0' [xX] [0-9a-fA-F]+ | [0-9] [0-9_]*;
REAL: [0-9]+ '.' [0-9]* EXPONENT? | '.' [0-9]+ EXPONENT? | [0-9]+ EXPONENT;
STRING: '"""' .*? '"""' | '"' (ESCAPE | ~[\\\r\n"])* '"' | '\'' (ESCAPE | ~[\\\r\n'])* '\'';
NEWLINE: '\r'? '\n' [ \t]*;
COMMENT: '#' ~[\r\n]* -> skip;
BLANK: [ \t]+ -> skip;
JOINED: '\\' '\r'? '\n' -> skip;
OTHER: .;

fragment EXPONENT: [eE] [+-]? [0-9]+;
fragment ESCAPE: '\\' .;
